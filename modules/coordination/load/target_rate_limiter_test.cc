#include "modules/coordination/load/target_rate_limiter.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TargetRateLimiter::ColdLimit kLimits{12, 8};
constexpr std::size_t kMaxInAnySecond = 20;

// Most sends that fall into any span of that length.
std::size_t BusiestSpan(const std::vector<Clock::TimePoint>& sent,
                        seconds length) {
  std::size_t busiest = 0;
  for (const Clock::TimePoint first : sent) {
    const auto in_span = std::count_if(
        sent.begin(), sent.end(), [first, length](Clock::TimePoint one) {
          return one >= first && one - first < length;
        });
    busiest = std::max(busiest, static_cast<std::size_t>(in_span));
  }
  return busiest;
}

std::size_t BusiestSecond(const std::vector<Clock::TimePoint>& sent) {
  return BusiestSpan(sent, seconds(1));
}

// Offers a request each 10 ms and returns when those that were let in were
// sent.
std::vector<Clock::TimePoint> OfferMany(TargetRateLimiter& limiter,
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
  TargetRateLimiter limiter(clock);
  limiter.SetColdLimit(kLimits);
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
  TargetRateLimiter limiter(clock);
  limiter.SetColdLimit(kLimits);
  OfferMany(limiter, clock, seconds(2));
  limiter.SetColdUntil(clock.Now() + seconds(3));
  const auto sent = OfferMany(limiter, clock, seconds(1));
  CHECK(sent.size() <= 12);
}

// Guards against a restarted node that knows nothing of what its earlier
// process has sent.
TEST_CASE("a new limiter starts without tokens") {
  ManualClock clock;
  TargetRateLimiter limiter(clock);
  limiter.SetColdLimit(kLimits);
  limiter.SetColdUntil(clock.Now() + seconds(3));
  CHECK(limiter.TimeUntilAdmission(0) > milliseconds(80));
  CHECK(limiter.TimeUntilAdmission(3) > milliseconds(330));
}

// Guards against admitted requests whose connections are made late and all at
// once.
TEST_CASE("requests that were held up are not sent in a bunch") {
  ManualClock clock;
  TargetRateLimiter limiter(clock);
  limiter.SetColdLimit(kLimits);
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

// Most requests that a target may get in four seconds by its limit.
double MaxInFourSeconds(double limit) {
  return 1.5 * 4 * limit + 5;
}

// Guards against a target in need that gets more than the limit that it named,
// or only a part of it.
TEST_CASE("a target gets the limit that it names, no more and no less") {
  for (const double limit : {0.3, 1.0, 12.0, 26.1, 60.0}) {
    CAPTURE(limit);
    ManualClock clock;
    TargetRateLimiter limiter(clock);
    OfferMany(limiter, clock, seconds(5));
    limiter.SetNamedLimit(limit);
    CHECK(limiter.IsLimiting());
    const auto sent = OfferMany(limiter, clock, seconds(20));
    CHECK(static_cast<double>(sent.size()) >= 0.95 * 20 * limit - 1);
    CHECK(static_cast<double>(sent.size()) <= 1.05 * 20 * limit + 1);
    CHECK(static_cast<double>(BusiestSpan(sent, seconds(4))) <=
          MaxInFourSeconds(limit));
    limiter.SetNamedLimit(std::nullopt);
    CHECK(OfferMany(limiter, clock, seconds(1)).size() == 100);
  }
}

// Guards against a target in need that gets only a part of its limit because
// its node's host is busy, so that admissions are decided late.
TEST_CASE("a target gets the limit that it names when its node is held up") {
  for (const double limit : {1.0, 12.0, 26.1, 60.0}) {
    CAPTURE(limit);
    ManualClock clock;
    TargetRateLimiter limiter(clock);
    limiter.SetNamedLimit(limit);
    std::vector<Clock::TimePoint> sent;
    const Clock::TimePoint end = clock.Now() + seconds(20);
    for (int decision = 0; clock.Now() < end; ++decision) {
      while (limiter.TimeUntilAdmission(0) == Clock::Duration(0)) {
        limiter.OnAdmitted();
        if (limiter.TrySend())
          sent.push_back(clock.Now());
      }
      clock.Advance(milliseconds(decision % 8 == 0 ? 180 : 25));
    }
    CHECK(static_cast<double>(sent.size()) >= 0.95 * 20 * limit - 1);
    CHECK(static_cast<double>(BusiestSpan(sent, seconds(4))) <=
          MaxInFourSeconds(limit));
  }
}

// Guards against a target that takes nothing and is never asked again.
TEST_CASE("a target that takes nothing is tried now and then") {
  ManualClock clock;
  TargetRateLimiter limiter(clock);
  limiter.SetNamedLimit(0);
  const auto sent = OfferMany(limiter, clock, seconds(40));
  CHECK(sent.size() >= 5);
  CHECK(BusiestSpan(sent, seconds(4)) <= 2);
}

// Guards against a limit that is named anew each second and lets through the
// sum of what each value allows.
TEST_CASE("a limit that changes each second is kept as it is named last") {
  ManualClock clock;
  TargetRateLimiter limiter(clock);
  std::vector<Clock::TimePoint> sent;
  std::vector<double> limits;
  for (const double limit : {40, 20, 8, 30, 8, 1, 20, 40, 2, 2, 2, 2}) {
    limiter.SetNamedLimit(limit);
    limits.push_back(limit);
    for (const Clock::TimePoint one : OfferMany(limiter, clock, seconds(1)))
      sent.push_back(one);
    const std::size_t counted = std::min<std::size_t>(4, limits.size());
    double allowed = 5;
    for (std::size_t i = limits.size() - counted; i < limits.size(); ++i)
      allowed += 1.5 * limits[i];
    const auto in_span =
        std::count_if(sent.begin(), sent.end(), [&clock](Clock::TimePoint one) {
          return one >= clock.Now() - seconds(4);
        });
    CHECK(static_cast<double>(in_span) <= allowed);
  }
}

// Guards against requests that were admitted before a limit was known and are
// sent all at once after it.
TEST_CASE("admitted requests beyond the named limit are not sent") {
  ManualClock clock;
  TargetRateLimiter limiter(clock);
  limiter.SetNamedLimit(5);
  std::size_t sent = 0;
  for (int i = 0; i < 200; ++i)
    sent += limiter.TrySend() ? 1 : 0;
  CHECK(static_cast<double>(sent) <= MaxInFourSeconds(5));
}

// Load: a limit that is withdrawn for a moment each 300 ms, and a bunch of
// requests admitted in each such moment. Guards against a count that starts
// anew each time that the limit is named.
TEST_CASE("a limit that is named again counts what was sent under it before") {
  ManualClock clock;
  TargetRateLimiter limiter(clock);
  constexpr int kBunch = 8;
  std::vector<Clock::TimePoint> sent;
  for (int moment = 0; moment < 30; ++moment) {
    limiter.SetNamedLimit(std::nullopt);
    for (int i = 0; i < kBunch; ++i)
      limiter.OnAdmitted();
    clock.Advance(milliseconds(1));
    limiter.SetNamedLimit(12);
    for (int i = 0; i < kBunch; ++i) {
      if (limiter.TrySend())
        sent.push_back(clock.Now());
    }
    clock.Advance(milliseconds(299));
  }
  CHECK(static_cast<double>(BusiestSpan(sent, seconds(4))) <=
        MaxInFourSeconds(12));
}

// Guards against the looser one of two limits that hides the other.
TEST_CASE("a cold target that names a limit is bound by both") {
  ManualClock clock;
  TargetRateLimiter limiter(clock);
  limiter.SetColdLimit(kLimits);
  limiter.SetColdUntil(clock.Now() + seconds(3));
  limiter.SetNamedLimit(2);
  CHECK(limiter.Rate() == 2);
  CHECK(OfferMany(limiter, clock, seconds(3)).size() <= 7);
  limiter.SetNamedLimit(200);
  CHECK(OfferMany(limiter, clock, seconds(1)).size() > 50);
  limiter.SetColdUntil(clock.Now() + seconds(3));
  CHECK(limiter.Rate() == 12);
  CHECK(BusiestSecond(OfferMany(limiter, clock, seconds(3))) <=
        kMaxInAnySecond);
}

TEST_CASE("a service without a limit is never limited") {
  ManualClock clock;
  TargetRateLimiter limiter(clock);
  limiter.SetColdUntil(clock.Now() + seconds(3));
  CHECK_FALSE(limiter.IsLimiting());
  CHECK(OfferMany(limiter, clock, seconds(1)).size() == 100);
}

}  // namespace
}  // namespace citrongrade
