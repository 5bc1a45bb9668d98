#include "modules/coordination/mesh/target_loss_detector.h"

#include <doctest/doctest.h>

#include <chrono>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {
namespace {

using std::chrono::milliseconds;
using Connections = TargetLossDetector::Connections;
using Verdict = TargetLossDetector::Verdict;

constexpr bool kServing = false;
constexpr bool kLeaving = true;
constexpr milliseconds kHold{2000};

struct Fixture {
  Verdict Review(const Connections& open, bool is_leaving) const {
    return detector.Review(open, is_leaving, held_until);
  }

  ManualClock clock;
  TargetLossDetector detector{clock};
  Clock::TimePoint held_until = clock.Now() + kHold;
};

// Guards against keys of a target that closed its listener, given on while it
// holds them.
TEST_CASE_FIXTURE(Fixture, "a refusal alone ends nothing before the holds do") {
  CHECK(detector.OnRefused());
  CHECK(Review({}, kServing) == Verdict::kNotLost);
  CHECK(Review({}, kLeaving) == Verdict::kNotLost);
  clock.Advance(kHold + milliseconds(1));
  CHECK(Review({}, kServing) == Verdict::kHoldsExpired);
}

// Guards against a hold's end that is taken for the end of the work.
TEST_CASE_FIXTURE(Fixture, "a target that works is not lost with its holds") {
  detector.OnRefused();
  clock.Advance(kHold + milliseconds(1));
  CHECK(Review({.exchanges = 1}, kServing) == Verdict::kNotLost);
}

// Guards against keys of a crashed target that stay unserved until its holds
// have expired.
TEST_CASE_FIXTURE(Fixture, "a process whose connections ended has died") {
  detector.OnConnectionEnded();
  detector.OnRefused();
  CHECK(Review({}, kServing) == Verdict::kProcessDied);
  CHECK(Review({.exchanges = 1}, kServing) == Verdict::kNotLost);
  CHECK(Review({.has_idle = true}, kServing) == Verdict::kNotLost);
}

// Guards against a target that leaves, closes its idle connections with its
// listener, and is taken for dead.
TEST_CASE_FIXTURE(Fixture, "only a broken exchange proves a leaver's death") {
  detector.OnConnectionEnded();
  detector.OnRefused();
  CHECK(Review({}, kLeaving) == Verdict::kNotLost);
  detector.OnExchangeBroken();
  CHECK(Review({}, kLeaving) == Verdict::kProcessDied);
}

// Guards against a connection that ended long before, taken for the death that
// explains a refusal.
TEST_CASE_FIXTURE(Fixture, "a connection that ended long ago proves nothing") {
  detector.OnExchangeBroken();
  clock.Advance(milliseconds(1001));
  detector.OnRefused();
  CHECK(Review({}, kServing) == Verdict::kNotLost);
}

// Guards against a target that listens again, or its successor, and is judged
// by an old refusal.
TEST_CASE_FIXTURE(Fixture, "a refusal ends when the target listens") {
  detector.OnExchangeBroken();
  detector.OnRefused();
  CHECK_FALSE(detector.OnRefused());
  detector.EndRefusal();
  CHECK(Review({}, kServing) == Verdict::kNotLost);
  CHECK(detector.OnRefused());
  detector.BeginIncarnation();
  CHECK(Review({}, kServing) == Verdict::kNotLost);
  detector.OnRefused();
  CHECK(Review({}, kServing) == Verdict::kNotLost);
}

}  // namespace
}  // namespace citrongrade
