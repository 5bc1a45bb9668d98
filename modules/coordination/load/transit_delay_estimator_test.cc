#include "modules/coordination/load/transit_delay_estimator.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

constexpr std::uint64_t kSender = 7;
// The sender's clock began at another time.
constexpr std::chrono::hours kOffset{31};

class Fixture {
 public:
  // A request that took `way` to come here.
  milliseconds Arrive(milliseconds way, std::uint64_t sender = kSender) {
    const nanoseconds sent = clock.Now().time_since_epoch() + kOffset;
    clock.Advance(way);
    return std::chrono::duration_cast<milliseconds>(
        delay.OnArrived(sender, sent, clock.Now()));
  }

  ManualClock clock;
  TransitDelayEstimator delay{clock};
};

}  // namespace

// Calls stand in a choked link for a second while their callers give up.
TEST_CASE_FIXTURE(Fixture, "what a request was held up shows in its arrival") {
  CHECK(Arrive(milliseconds(3)) == milliseconds(0));
  CHECK(Arrive(milliseconds(1)) == milliseconds(0));
  CHECK(Arrive(milliseconds(900)) == milliseconds(899));
  CHECK(Arrive(milliseconds(2)) == milliseconds(1));
}

TEST_CASE_FIXTURE(Fixture, "each sender's clock counts for itself") {
  Arrive(milliseconds(1));
  CHECK(Arrive(milliseconds(400), kSender + 1) == milliseconds(0));
}

// A way that is longer for good, by another route, must not count as held up
// for good: all its requests would be refused.
TEST_CASE_FIXTURE(Fixture, "a longer way is the measure after two windows") {
  Arrive(milliseconds(1));
  CHECK(Arrive(milliseconds(300)) == milliseconds(299));
  for (int i = 0; i < 3; ++i) {
    clock.Advance(TransitDelayEstimator::kWindow);
    Arrive(milliseconds(300));
  }
  CHECK(Arrive(milliseconds(300)) == milliseconds(0));
}

TEST_CASE_FIXTURE(Fixture, "senders that fell silent are forgotten") {
  for (std::uint64_t sender = 0; sender < 100; ++sender)
    Arrive(milliseconds(1), sender);
  CHECK(delay.sender_count() == 100);
  clock.Advance(3 * TransitDelayEstimator::kWindow);
  Arrive(milliseconds(1), 200);
  CHECK(delay.sender_count() == 1);
}

}  // namespace citrongrade
