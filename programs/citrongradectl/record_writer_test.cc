#include "programs/citrongradectl/record_writer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "modules/coordination/log_errors.h"
#include "modules/coordination/manual_clock.h"
#include "modules/coordination/platform_log.h"
#include "modules/state/mesh_state.h"
#include "programs/citrongradectl/mesh_reader.h"
#include "programs/citrongradectl/write_report.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;
using Status = WriteResult::Status;

constexpr milliseconds kTimeout{1'000};

// A log in memory whose next appends and reads fail as told.
class FaultyLog final : public PlatformLog {
 public:
  enum class Append { kWorks, kLosesAnswer, kLosesRecord, kRefuses, kDelays };

  LogOffset Append(const RecordId& id, const Record& record) override {
    const enum Append fault = NextFault();
    if (before_append) {
      before_append();
    }
    switch (fault) {
      case Append::kRefuses:
        throw LogUnavailableError("refused");
      case Append::kLosesRecord:
        throw LogAnswerLostError("lost on the way there");
      case Append::kDelays:
        m_delayed.push_back({LogOffset(), id, record});
        throw LogAnswerLostError("lands later");
      case Append::kLosesAnswer:
        Add(id, record);
        throw LogAnswerLostError("lost on the way back");
      case Append::kWorks:
        break;
    }
    return Add(id, record);
  }

  std::vector<LogEntry> Read(LogOffset from,
                             std::size_t max_entries,
                             milliseconds /*wait*/) override {
    ThrowIfUnreadable();
    std::vector<LogEntry> entries;
    for (std::size_t i = from.value() - 1;
         i < m_entries.size() && entries.size() < max_entries; ++i) {
      entries.push_back(m_entries[i]);
    }
    return entries;
  }

  LogOffset FirstOffset() override { return LogOffset(1); }
  LogOffset NextOffset() override {
    ThrowIfUnreadable();
    return LogOffset(m_entries.size() + 1);
  }

  LogOffset Add(const RecordId& id, const Record& record) {
    m_entries.push_back({LogOffset(m_entries.size() + 1), id, record});
    return m_entries.back().offset;
  }
  void LandDelayed() {
    for (const LogEntry& entry : m_delayed) {
      Add(entry.id, entry.record);
    }
    m_delayed.clear();
  }

  // Of the next appends, in order; those after work.
  std::vector<enum Append> faults;
  bool readable = true;
  std::function<void()> before_append;

 private:
  enum Append NextFault() {
    if (faults.empty()) {
      return Append::kWorks;
    }
    const enum Append fault = faults.front();
    faults.erase(faults.begin());
    return fault;
  }
  void ThrowIfUnreadable() const {
    if (!readable) {
      throw LogUnavailableError("down");
    }
  }

  std::vector<LogEntry> m_entries;
  std::vector<LogEntry> m_delayed;
};

using Fault = enum FaultyLog::Append;

ConfigRecord MakeTemplate(const std::string& queue,
                          ConfigVersion based_on = ConfigVersion()) {
  return {ConfigKind::kTemplate, "t", based_on,
          R"({"kind":"template","name":"t","settings":{"max_queued":)" + queue +
              "}}",
          "ana"};
}

struct Fixture {
  WriteResult Write(const Record& record) {
    RecordWriter writer(log, reader, clock, ids,
                        [this](milliseconds pause) { clock.Advance(pause); });
    return writer.Write(record, kTimeout);
  }
  std::string BodyInForce() {
    reader.CatchUp();
    const ConfigEntry* entry =
        reader.state().FindConfig(ConfigKind::kTemplate, "t");
    return entry == nullptr ? "" : entry->body;
  }

  ManualClock clock;
  FaultyLog log;
  MeshReader reader{log};
  RecordIdGenerator ids{std::mt19937_64(1)};
};

}  // namespace

TEST_CASE("a record is reported accepted once it was read back") {
  Fixture fixture;
  const WriteResult result = fixture.Write(MakeTemplate("5"));
  CHECK(result.status == Status::kAccepted);
  CHECK(result.offset == LogOffset(1));
}

TEST_CASE("an answer lost after the append took effect is a definite yes") {
  // The log takes the record and the connection closes before its answer. The
  // operator must not be told that it failed, and it must not be applied twice.
  Fixture fixture;
  fixture.log.faults = {Fault::kLosesAnswer};
  const WriteResult result = fixture.Write(MakeTemplate("5"));
  CHECK(result.status == Status::kAccepted);
  CHECK(fixture.reader.changes().size() == 1);
}

TEST_CASE("a record that got lost on its way is written again") {
  Fixture fixture;
  fixture.log.faults = {Fault::kLosesRecord, Fault::kRefuses};
  CHECK(fixture.Write(MakeTemplate("5")).status == Status::kAccepted);
  CHECK(fixture.reader.changes().size() == 1);
}

TEST_CASE("a first copy that lands late changes nothing any more") {
  // The first append hangs in the network and the second is accepted. Another
  // operator replaces that version. Then the first copy lands: were it
  // accepted, the newer version would be undone behind both their backs.
  Fixture fixture;
  fixture.log.faults = {Fault::kDelays};
  const WriteResult first = fixture.Write(MakeTemplate("5"));
  REQUIRE(first.status == Status::kAccepted);
  const ConfigVersion version(first.offset.value());
  REQUIRE(fixture.Write(MakeTemplate("6", version)).status ==
          Status::kAccepted);
  const std::string newer = fixture.BodyInForce();
  fixture.log.LandDelayed();
  CHECK(fixture.BodyInForce() == newer);
}

TEST_CASE(
    "of two publishers one is told which version was first, and by whom") {
  // Both read version 0. The other's record lands just before ours.
  Fixture fixture;
  fixture.log.before_append = [&fixture] {
    fixture.log.before_append = nullptr;
    ConfigRecord other = MakeTemplate("9");
    other.operator_name = "rui";
    fixture.log.Add(RecordId("other"), other);
  };
  const ConfigRecord ours = MakeTemplate("5");
  const WriteResult result = fixture.Write(ours);
  CHECK(result.status == Status::kRejected);
  CHECK(result.refusal.rejected == RejectReason::kStaleVersion);
  const WriteReport report =
      WriteReport::OfConfig(result, ours, fixture.reader.state());
  CHECK(report.exit_code == ExitCode::kConflict);
  CHECK(report.message.find("version 1 by rui was first") != std::string::npos);
}

TEST_CASE("a log that refuses everything gives a definite no") {
  Fixture fixture;
  fixture.log.faults = std::vector<Fault>(100, Fault::kRefuses);
  const WriteResult result = fixture.Write(MakeTemplate("5"));
  CHECK(result.status == Status::kNotWritten);
  CHECK(fixture.BodyInForce().empty());
}

TEST_CASE(
    "what can't be read back is said to be not known, and how to find out") {
  // The log takes the record, loses its answer, and goes down. Neither yes nor
  // no would be true.
  Fixture fixture;
  fixture.log.faults = std::vector<Fault>(100, Fault::kRefuses);
  fixture.log.faults.front() = Fault::kLosesAnswer;
  fixture.log.readable = false;
  const WriteResult result = fixture.Write(MakeTemplate("5"));
  CHECK(result.status == Status::kUnknown);
  const WriteReport report = WriteReport::Of(result, "t");
  CHECK(report.exit_code == ExitCode::kUnknown);
  CHECK(report.message.find("history --record " + result.id.value()) !=
        std::string::npos);
  fixture.log.readable = true;
  CHECK_FALSE(fixture.BodyInForce().empty());
}

TEST_CASE("a refusal with a copy still under way says so") {
  // The first copy of an invalid record hangs, the second is refused. What made
  // it invalid may change before the first lands.
  Fixture fixture;
  fixture.log.faults = {Fault::kDelays};
  const WriteResult result = fixture.Write(MakeTemplate("0"));
  CHECK(result.status == Status::kRejected);
  CHECK(result.copy_may_land);
}

}  // namespace citrongrade
