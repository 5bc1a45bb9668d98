#include "modules/coordination/mesh/lease_duration_controller.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/mesh/push_hold_tracker.h"
#include "modules/coordination/testing/owned_runs.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{20};
constexpr milliseconds kPlayed{60'000};
constexpr std::uint64_t kSeed = 11;

struct Fixture {
  void Store() {
    length.OnStoreStarted(length.DurationToStore());
    length.OnStoreCompleted();
  }

  ManualClock clock;
  MeshTiming timing;
  LeaseDurationController length{clock, timing, milliseconds(0)};
};

// A target whose node has renewed its lease by every heartbeat, and whose work
// has a mean of `mean` and spreads like a lognormal distribution.
class BusyTarget {
 public:
  explicit BusyTarget(milliseconds mean)
      : m_work(
            std::log(static_cast<double>(mean.count())) - kSpread * kSpread / 2,
            kSpread) {
    m_clock.Advance(milliseconds(4000));
    m_book.SetAssignments({MakeOwnedRun(0, 9, 1)});
  }

  // The part of runs, begun at any moment, that take longer than the target may
  // then still serve their key.
  double FractionOutlastingHold(milliseconds lease) {
    int begun = 0;
    int outlasting = 0;
    Clock::TimePoint lease_until;
    Clock::TimePoint next_heartbeat = m_clock.Now();
    for (milliseconds t{0}; t < kPlayed; t += kTick) {
      m_clock.Advance(kTick);
      if (m_clock.Now() >= next_heartbeat) {
        lease_until = m_clock.Now() + lease;
        next_heartbeat = m_clock.Now() + MeshTiming().heartbeat_interval;
      }
      for (const PushHoldTracker::Grant& grant : m_book.DueGrants(lease_until))
        m_book.OnGranted(grant.id);
      const std::chrono::duration<double, std::milli> work(m_work(m_random));
      ++begun;
      outlasting += work > m_book.RemainingHold(5) ? 1 : 0;
    }
    return static_cast<double>(outlasting) / begun;
  }

 private:
  static constexpr double kSpread = 0.8;

  ManualClock m_clock;
  PushHoldTracker m_book{m_clock};
  std::mt19937_64 m_random{kSeed};
  std::lognormal_distribution<> m_work;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "short work leaves leases as short as they may be") {
  length.UpdateServiceTimes(
      {milliseconds(120), milliseconds(150), milliseconds(190)});
  CHECK(length.DurationToStore() == timing.min_lease);
  CHECK(length.DurationToGrant() == timing.min_lease);
}

// Guards against work that is lost because its target's hold ends before it.
TEST_CASE_FIXTURE(Fixture, "few runs of long work outlast their hold") {
  constexpr milliseconds kMean{550};
  CHECK(BusyTarget(kMean).FractionOutlastingHold(timing.min_lease) > 0.1);
  length.UpdateServiceTimes({kMean});
  Store();
  CHECK(BusyTarget(kMean).FractionOutlastingHold(length.DurationToGrant()) <
        0.04);
}

// Guards against keys that are unserved for long after the loss of a node.
TEST_CASE_FIXTURE(Fixture, "no work makes leases longer than their bound") {
  length.UpdateServiceTimes({milliseconds(5000)});
  Store();
  CHECK(length.DurationToGrant() == timing.max_lease);
}

// Guards against a later leader that takes a longer lease for ended.
TEST_CASE_FIXTURE(Fixture, "a longer lease is granted once it is stored") {
  length.UpdateServiceTimes({milliseconds(500)});
  CHECK(length.DurationToGrant() == timing.min_lease);
  const milliseconds longer = length.DurationToStore();
  CHECK(longer > timing.min_lease);
  length.OnStoreStarted(longer);
  CHECK(length.DurationToGrant() == timing.min_lease);
  CHECK(length.MaxDurationInForce() == longer);
  length.OnStoreCompleted();
  CHECK(length.DurationToGrant() == longer);
}

TEST_CASE_FIXTURE(Fixture,
                  "a leader starts with the leases of the one before") {
  const LeaseDurationController next(clock, timing, milliseconds(2800));
  CHECK(next.MaxDurationInForce() == milliseconds(2800));
  CHECK(next.DurationToStore() == milliseconds(2800));
}

// Guards against a record that names shorter leases than are in force.
TEST_CASE_FIXTURE(Fixture, "shorter leases are stored when longer ones ended") {
  length.UpdateServiceTimes({milliseconds(500)});
  Store();
  const milliseconds longer = length.MaxDurationInForce();
  length.UpdateServiceTimes({milliseconds(100)});
  CHECK(length.DurationToGrant() == timing.min_lease);
  clock.Advance(longer);
  CHECK(length.DurationToStore() == longer);
  clock.Advance(timing.max_clock_drift + milliseconds(1));
  CHECK(length.DurationToStore() == timing.min_lease);
}

// The same, when work takes long again while the record is being written.
TEST_CASE_FIXTURE(Fixture,
                  "no lease is longer than the record under way says") {
  length.UpdateServiceTimes({milliseconds(500)});
  Store();
  length.UpdateServiceTimes({milliseconds(100)});
  clock.Advance(milliseconds(4000));
  length.OnStoreStarted(length.DurationToStore());
  length.UpdateServiceTimes({milliseconds(500)});
  CHECK(length.DurationToGrant() == timing.min_lease);
}

TEST_CASE_FIXTURE(Fixture, "a few slow targets don't lengthen all leases") {
  length.UpdateServiceTimes({milliseconds(120), milliseconds(130),
                             milliseconds(140), milliseconds(900),
                             milliseconds(900)});
  CHECK(length.DurationToStore() == timing.min_lease);
}

}  // namespace citrongrade
