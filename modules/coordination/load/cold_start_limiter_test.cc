#include "modules/coordination/load/cold_start_limiter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ColdStartLimiter::Parameters kLimits{12, 8};
constexpr std::size_t kMaxInAnySecond = 20;

// Most sends that fall into any second.
std::size_t BusiestSecond(const std::vector<Clock::TimePoint>& sent) {
  std::size_t busiest = 0;
  for (const Clock::TimePoint first : sent) {
    const auto in_second =
        std::count_if(sent.begin(), sent.end(), [first](Clock::TimePoint one) {
          return one >= first && one - first < seconds(1);
        });
    busiest = std::max(busiest, static_cast<std::size_t>(in_second));
  }
  return busiest;
}

// Offers a request each 10 ms and returns when those that were let in were
// sent.
std::vector<Clock::TimePoint> OfferMany(ColdStartLimiter& limiter,
                                        ManualClock& clock,
                                        seconds duration) {
  std::vector<Clock::TimePoint> sent;
  const Clock::TimePoint end = clock.Now() + duration;
  while (clock.Now() < end) {
    if (limiter.TimeUntilAdmission(0) == Clock::Duration(0)) {
      limiter.OnAdmitted();
      if (limiter.TrySend())
        sent.push_back(clock.Now());
    }
    clock.Advance(milliseconds(10));
  }
  return sent;
}

// Guards against a new target that is crashed by its full share of a burst.
TEST_CASE("a cold target gets its rate and no more in any second") {
  ManualClock clock;
  ColdStartLimiter limiter(clock);
  limiter.SetParameters(kLimits);
  clock.Advance(seconds(10));
  limiter.SetColdUntil(clock.Now() + seconds(3));
  const auto sent = OfferMany(limiter, clock, seconds(3));
  CHECK(BusiestSecond(sent) <= kMaxInAnySecond);
  CHECK(sent.size() >= 3 * 12);
  CHECK_FALSE(limiter.IsLimiting());
  CHECK(OfferMany(limiter, clock, seconds(1)).size() == 100);
}

// Guards against a warm target that is busy and turns cold at once.
TEST_CASE("what a target got while it was warm counts when it turns cold") {
  ManualClock clock;
  ColdStartLimiter limiter(clock);
  limiter.SetParameters(kLimits);
  OfferMany(limiter, clock, seconds(2));
  limiter.SetColdUntil(clock.Now() + seconds(3));
  const auto sent = OfferMany(limiter, clock, seconds(1));
  CHECK(sent.size() <= 12);
}

// Guards against a restarted node that knows nothing of what its earlier
// process has sent.
TEST_CASE("a new limiter starts without tokens") {
  ManualClock clock;
  ColdStartLimiter limiter(clock);
  limiter.SetParameters(kLimits);
  limiter.SetColdUntil(clock.Now() + seconds(3));
  CHECK(limiter.TimeUntilAdmission(0) > milliseconds(80));
  CHECK(limiter.TimeUntilAdmission(3) > milliseconds(330));
}

// Guards against admitted requests whose connections are made late and all at
// once.
TEST_CASE("requests that were held up are not sent in a bunch") {
  ManualClock clock;
  ColdStartLimiter limiter(clock);
  limiter.SetParameters(kLimits);
  limiter.SetColdUntil(clock.Now() + seconds(10));
  int admitted = 0;
  const Clock::TimePoint end = clock.Now() + seconds(4);
  while (clock.Now() < end) {
    if (limiter.TimeUntilAdmission(0) == Clock::Duration(0)) {
      limiter.OnAdmitted();
      ++admitted;
    }
    clock.Advance(milliseconds(10));
  }
  CHECK(admitted > 40);
  std::size_t sent = 0;
  for (int i = 0; i < admitted; ++i)
    sent += limiter.TrySend() ? 1 : 0;
  CHECK(sent == kMaxInAnySecond);
}

TEST_CASE("a service without a limit is never limited") {
  ManualClock clock;
  ColdStartLimiter limiter(clock);
  limiter.SetColdUntil(clock.Now() + seconds(3));
  CHECK_FALSE(limiter.IsLimiting());
  CHECK(OfferMany(limiter, clock, seconds(1)).size() == 100);
}

}  // namespace
}  // namespace citrongrade
