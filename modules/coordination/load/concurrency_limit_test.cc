#include "modules/coordination/load/concurrency_limit.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kDeclaredConcurrency = 12;

// A target that runs `capacity` requests of 20 ms at once and queues the rest.
class QueueingTarget {
 public:
  explicit QueueingTarget(std::size_t capacity) : m_capacity(capacity) {}

  void SetRunTime(milliseconds run_time) { m_run_time = run_time; }

  // Keeps as many requests running as the limit allows, for `seconds`.
  void Saturate(ManualClock& clock, ConcurrencyLimit& limit, int seconds) {
    for (int step = 0; step < 50 * seconds; ++step) {
      const std::size_t running = limit.limit();
      const auto queued = std::max(
          1.0, static_cast<double>(running) / static_cast<double>(m_capacity));
      clock.Advance(milliseconds(20));
      limit.OnFinished(
          WorkClass::kShort,
          std::chrono::duration_cast<Clock::Duration>(m_run_time * queued),
          running);
    }
  }

 private:
  std::size_t m_capacity;
  milliseconds m_run_time{20};
};

ConcurrencyLimit::Parameters Declared() {
  ConcurrencyLimit::Parameters parameters;
  parameters.declared_concurrency = kDeclaredConcurrency;
  parameters.declared_connections = 40;
  return parameters;
}

}  // namespace

TEST_CASE("a target with more capacity than declared gets a higher limit") {
  ManualClock clock;
  ConcurrencyLimit limit(clock, Declared());
  QueueingTarget target(30);
  target.Saturate(clock, limit, 60);
  CHECK(limit.limit() >= 28);
  CHECK(limit.limit() <= 34);
}

// The target declares a concurrency of twelve and has ten. Latency rises with
// each further request; if the limit followed the target's own queue upwards,
// minute after minute, callers would see every answer late.
TEST_CASE("long saturation doesn't raise the limit of a full target") {
  ManualClock clock;
  ConcurrencyLimit limit(clock, Declared());
  QueueingTarget target(10);
  target.Saturate(clock, limit, 1800);
  CHECK(limit.limit() <= kDeclaredConcurrency);
}

// A store behind the target slows every run down fourfold. A lower limit does
// not make it faster, so a limit that shrinks with latency alone would refuse
// callers that the target could serve. The cut is tried, reduces the
// throughput, and must be reverted.
TEST_CASE("a slowdown not caused by the target's queue keeps the limit") {
  ManualClock clock;
  ConcurrencyLimit limit(clock, Declared());
  QueueingTarget target(kDeclaredConcurrency);
  target.Saturate(clock, limit, 20);
  target.SetRunTime(milliseconds(80));
  std::size_t limit_sum = 0;
  for (int second = 0; second < 20; ++second) {
    target.Saturate(clock, limit, 1);
    limit_sum += limit.limit();
  }
  CHECK(limit_sum >= 20 * (kDeclaredConcurrency - 1));
}

TEST_CASE("a target with little load keeps its declared concurrency") {
  ManualClock clock;
  ConcurrencyLimit limit(clock, Declared());
  for (int run = 0; run < 1000; ++run) {
    clock.Advance(milliseconds(20));
    limit.OnFinished(WorkClass::kShort, milliseconds(run % 7 * 10), 1);
  }
  CHECK(limit.limit() == kDeclaredConcurrency);
}

}  // namespace citrongrade
