#include "modules/coordination/load/target_notices.h"

#include <doctest/doctest.h>

#include <chrono>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {
namespace {

using std::chrono::milliseconds;

const TargetIncarnation kTarget{"t-1", 7};

TargetNotice Leaving(milliseconds leaving_for) {
  TargetNotice notice;
  notice.target = kTarget;
  notice.leaving_for = leaving_for;
  return notice;
}

// Guards against a target that gets requests again because the node beside it
// has started anew and knows nothing of its leaving.
TEST_CASE("a target that leaves is remembered, and for how long") {
  ManualClock clock;
  TargetNotices notices(clock);
  notices.OnNotice("a", Leaving(milliseconds(200)));
  clock.Advance(milliseconds(1000));
  notices.OnAnswerWithoutNotice("a");
  CHECK(notices.Find("a")->leaving_for == milliseconds(1200));
  CHECK(notices.HasLeft("a", kTarget, milliseconds(1200)));
  CHECK_FALSE(notices.HasLeft("a", kTarget, milliseconds(1201)));
  CHECK_FALSE(notices.HasLeft("a", {"t-2", 8}, milliseconds(0)));
  CHECK_FALSE(notices.HasLeft("b", kTarget, milliseconds(0)));
}

// Guards against the limit of an earlier time that a new process of the node is
// told.
TEST_CASE("an answer without a notice ends the limit") {
  ManualClock clock;
  TargetNotices notices(clock);
  TargetNotice notice;
  notice.target = kTarget;
  notice.rate_limit = 12;
  notices.OnNotice("a", notice);
  CHECK(notices.Find("a") == notice);
  notices.OnAnswerWithoutNotice("a");
  CHECK_FALSE(notices.Find("a"));
  CHECK(notices.is_empty());
}

TEST_CASE("notices of another process of the target replace the earlier ones") {
  ManualClock clock;
  TargetNotices notices(clock);
  notices.OnNotice("a", Leaving(milliseconds(200)));
  TargetNotice notice;
  notice.target = {"t-2", 8};
  notice.rate_limit = 3;
  notices.OnNotice("a", notice);
  CHECK(notices.Find("a") == notice);
  notices.RemoveIf([](const std::string& address) { return address == "a"; });
  CHECK(notices.is_empty());
}

}  // namespace
}  // namespace citrongrade
