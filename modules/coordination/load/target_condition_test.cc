#include "modules/coordination/load/target_condition.h"

#include <doctest/doctest.h>

#include <chrono>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {
namespace {

using std::chrono::milliseconds;

using AnswerKind = TargetCondition::AnswerKind;

const TargetIncarnation kTarget{"t-1", 7};

TargetSignals Limit(double requests_per_second) {
  TargetSignals signals;
  signals.rate_limit = requests_per_second;
  return signals;
}

struct Fixture {
  Fixture() { condition.BeginIncarnation(kTarget); }

  // An answer to a request that was sent so long ago.
  TargetCondition::Changes Answer(const TargetSignals& signals,
                                  milliseconds sent_ago,
                                  AnswerKind kind = AnswerKind::kRun) {
    return condition.OnAnswer(signals, kind, clock.Now() - sent_ago);
  }

  ManualClock clock;
  TargetCondition condition{clock};
};

// Guards against work that began before a limit was named, ends after it
// without naming it, and withdraws it.
TEST_CASE_FIXTURE(Fixture, "only what was sent after it withdraws a limit") {
  CHECK(Answer(Limit(12), milliseconds(100)).is_rate_limit_changed);
  clock.Advance(milliseconds(50));
  CHECK_FALSE(Answer(TargetSignals(), milliseconds(200)).is_rate_limit_changed);
  CHECK_FALSE(Answer(Limit(30), milliseconds(200)).is_rate_limit_changed);
  CHECK(condition.rate_limit() == 12);
  CHECK(Answer(Limit(30), milliseconds(10)).is_rate_limit_changed);
  clock.Advance(milliseconds(50));
  CHECK(Answer(TargetSignals(), milliseconds(10)).is_rate_limit_changed);
  CHECK_FALSE(condition.rate_limit());
  CHECK_FALSE(condition.limited_since());
}

// Load: a target with keys names its limit in the answers to requests only, and
// its grants are renewed twice each 600 ms. Guards against grants that end the
// limit, after which all waiting requests are sent at once.
TEST_CASE_FIXTURE(Fixture, "only a run's answer withdraws a limit") {
  for (const AnswerKind kind : {AnswerKind::kCommand, AnswerKind::kRefusal}) {
    CAPTURE(static_cast<int>(kind));
    Answer(Limit(12), milliseconds(5));
    const auto limited_since = condition.limited_since();
    for (int renewal = 0; renewal < 14; ++renewal) {
      clock.Advance(milliseconds(300));
      CHECK(Answer(TargetSignals(), milliseconds(1), kind).is_omission_new ==
            (renewal == 0));
      CHECK(condition.rate_limit() == 12);
      Answer(Limit(12), milliseconds(5));
    }
    CHECK(condition.limited_since() == limited_since);
    clock.Advance(milliseconds(10));
    CHECK(Answer(TargetSignals(), milliseconds(1)).is_rate_limit_changed);
    CHECK_FALSE(condition.rate_limit());
  }
  CHECK(condition.omissions() == 28);
}

// Guards against a limit that only the answers to commands tell of in time.
TEST_CASE_FIXTURE(Fixture, "any answer may name a limit or loosen it") {
  Answer(Limit(12), milliseconds(1), AnswerKind::kCommand);
  CHECK(condition.rate_limit() == 12);
  clock.Advance(milliseconds(10));
  Answer(Limit(30), milliseconds(1), AnswerKind::kRefusal);
  CHECK(condition.rate_limit() == 30);
}

// Guards against a new process of a node whose first grant hides what other
// nodes were told.
TEST_CASE_FIXTURE(Fixture, "a notice counts after a grant without a limit") {
  TargetNotice notice;
  notice.target = kTarget;
  notice.rate_limit = 12;
  Answer(TargetSignals(), milliseconds(1), AnswerKind::kCommand);
  CHECK(condition.OnNotice(notice).is_rate_limit_changed);
  Answer(TargetSignals(), milliseconds(1), AnswerKind::kCommand);
  CHECK(condition.rate_limit() == 12);
}

// Guards against a stricter limit that is put off.
TEST_CASE_FIXTURE(Fixture, "a stricter limit counts whenever it was sent") {
  Answer(Limit(12), milliseconds(1));
  clock.Advance(milliseconds(10));
  CHECK(Answer(Limit(5), milliseconds(500)).is_rate_limit_changed);
  CHECK(condition.rate_limit() == 5);
}

// Guards against a header that can't be parsed and ends a limit.
TEST_CASE_FIXTURE(Fixture, "a malformed limit changes nothing, told once") {
  TargetSignals malformed;
  malformed.malformed_rate_limit = "\"many\"";
  Answer(Limit(12), milliseconds(1));
  clock.Advance(milliseconds(10));
  CHECK(Answer(malformed, milliseconds(1)).is_malformed_new);
  CHECK_FALSE(Answer(malformed, milliseconds(1)).is_malformed_new);
  CHECK(condition.rate_limit() == 12);
}

// Guards against a new process of a node that admits everything until it has
// read an answer, while other nodes have been told of the limit.
TEST_CASE_FIXTURE(Fixture, "another node's notice counts until an answer") {
  TargetNotice notice;
  notice.target = kTarget;
  notice.rate_limit = 12;
  CHECK(condition.OnNotice(notice).is_rate_limit_changed);
  CHECK(condition.rate_limit_source() == TargetCondition::Source::kPeer);
  CHECK(Answer(TargetSignals(), milliseconds(1)).is_rate_limit_changed);
  CHECK_FALSE(condition.OnNotice(notice).is_rate_limit_changed);
  CHECK_FALSE(condition.rate_limit());
}

// Guards against a limit or a leaving that passes to the next process at the
// address.
TEST_CASE_FIXTURE(Fixture, "another process of the target has said nothing") {
  TargetSignals leaving = Limit(12);
  leaving.is_leaving = true;
  CHECK(Answer(leaving, milliseconds(1)).is_leaving_new);
  const TargetNotice notice = condition.MakeNotice();
  condition.BeginIncarnation({"t-1", 8});
  CHECK_FALSE(condition.rate_limit());
  CHECK_FALSE(condition.leaving_since());
  CHECK(condition.OnNotice(notice) == TargetCondition::Changes());
}

// Guards against a target that is served again because an answer doesn't say
// that it leaves.
TEST_CASE_FIXTURE(Fixture, "that a target leaves is final") {
  TargetSignals leaving;
  leaving.is_leaving = true;
  Answer(leaving, milliseconds(1));
  clock.Advance(milliseconds(300));
  CHECK_FALSE(Answer(TargetSignals(), milliseconds(1)).is_leaving_new);
  CHECK(condition.MakeNotice().leaving_for == milliseconds(300));
}

// Guards against a node that stops by when it heard itself, where another one
// was told before.
TEST_CASE_FIXTURE(Fixture, "the earliest word of a leaving counts") {
  TargetNotice notice;
  notice.target = kTarget;
  notice.leaving_for = milliseconds(800);
  CHECK(condition.OnNotice(notice).is_leaving_new);
  CHECK(condition.MakeNotice().leaving_for == milliseconds(800));
}

}  // namespace
}  // namespace citrongrade
