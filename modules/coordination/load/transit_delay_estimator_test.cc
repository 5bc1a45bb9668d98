#include "modules/coordination/load/transit_delay_estimator.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

constexpr std::uint64_t kSender = 7;
// Offset of the sender's clock.
constexpr std::chrono::hours kOffset{31};

class Fixture {
 public:
  // Simulates the arrival of a request that was on the network for `transit`.
  // Returns its estimated delay.
  milliseconds Arrive(milliseconds transit, std::uint64_t sender = kSender) {
    const nanoseconds sent = clock.Now().time_since_epoch() + kOffset;
    clock.Advance(transit);
    return std::chrono::duration_cast<milliseconds>(
        estimator.OnArrived(sender, sent, clock.Now()));
  }

  ManualClock clock;
  TransitDelayEstimator estimator{clock};
};

}  // namespace

// On an overloaded link calls were delayed for a second, while their callers
// gave up.
TEST_CASE_FIXTURE(Fixture, "a request's delay is measured on arrival") {
  CHECK(Arrive(milliseconds(3)) == milliseconds(0));
  CHECK(Arrive(milliseconds(1)) == milliseconds(0));
  CHECK(Arrive(milliseconds(900)) == milliseconds(899));
  CHECK(Arrive(milliseconds(2)) == milliseconds(1));
}

TEST_CASE_FIXTURE(Fixture, "each sender has its own clock offset") {
  Arrive(milliseconds(1));
  CHECK(Arrive(milliseconds(400), kSender + 1) == milliseconds(0));
}

// A path that becomes longer for good, for example by another network route,
// must not count as a delay for ever: all its requests would be refused.
TEST_CASE_FIXTURE(Fixture, "a longer path is the reference after two windows") {
  Arrive(milliseconds(1));
  CHECK(Arrive(milliseconds(300)) == milliseconds(299));
  for (int i = 0; i < 3; ++i) {
    clock.Advance(TransitDelayEstimator::kWindow);
    Arrive(milliseconds(300));
  }
  CHECK(Arrive(milliseconds(300)) == milliseconds(0));
}

TEST_CASE_FIXTURE(Fixture, "idle senders are removed") {
  for (std::uint64_t sender = 0; sender < 100; ++sender)
    Arrive(milliseconds(1), sender);
  CHECK(estimator.sender_count() == 100);
  clock.Advance(3 * TransitDelayEstimator::kWindow);
  Arrive(milliseconds(1), 200);
  CHECK(estimator.sender_count() == 1);
}

}  // namespace citrongrade
