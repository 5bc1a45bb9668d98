#include "modules/coordination/mesh/returned_keys_log.h"

#include <doctest/doctest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>
#include <utility>

namespace citrongrade {
namespace {

// Collects what is logged while it lives.
class LogCapture {
 public:
  LogCapture() : m_previous(spdlog::default_logger()) {
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(m_text);
    sink->set_pattern("%v");
    spdlog::set_default_logger(
        std::make_shared<spdlog::logger>("capture", std::move(sink)));
  }
  ~LogCapture() { spdlog::set_default_logger(m_previous); }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  std::string text() const { return m_text.str(); }

 private:
  std::ostringstream m_text;
  const std::shared_ptr<spdlog::logger> m_previous;
};

SlotAssignment OwnedBy(const std::string& owner, SlotRange range) {
  SlotAssignment assignment;
  assignment.range = range;
  assignment.owner = owner;
  assignment.incarnation = {"t-" + owner, 1};
  assignment.fence = 7;
  return assignment;
}

}  // namespace

// Guards against keys that change hands without a line which says by what
// evidence, and against a line for each of hundreds of ranges.
TEST_CASE("returned keys are logged by owner, with their evidence") {
  const LogCapture capture;
  {
    ReturnedKeysLog log("divided", 3);
    log.Add(OwnedBy("a", {0, 9}), {OwnershipEnd::Evidence::kLeaseExpired,
                                   std::chrono::milliseconds(20)});
    log.Add(OwnedBy("b", {10, 19}), {OwnershipEnd::Evidence::kTargetGone,
                                     std::chrono::milliseconds(5)});
    log.Add(OwnedBy("a", {20, 29}), {OwnershipEnd::Evidence::kLeaseExpired,
                                     std::chrono::milliseconds(20)});
  }
  CHECK(capture.text() ==
        "event=keys-returned service=divided owner=a target=t-a "
        "evidence=lease-expired age_ms=20 epoch=3 ranges=0-9@7,20-29@7\n"
        "event=keys-returned service=divided owner=b target=t-b "
        "evidence=target-gone age_ms=5 epoch=3 ranges=10-19@7\n");
}

}  // namespace citrongrade
