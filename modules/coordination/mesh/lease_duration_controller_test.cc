#include "modules/coordination/mesh/lease_duration_controller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/mesh/push_hold_tracker.h"
#include "modules/coordination/testing/slot_assignments.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{20};
constexpr milliseconds kSimulatedTime{60'000};
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

// A target whose node renews its lease with every heartbeat. The service times
// have the given mean and a lognormal distribution.
class BusyTarget {
 public:
  explicit BusyTarget(milliseconds mean)
      : m_service_times(
            std::log(static_cast<double>(mean.count())) - kSpread * kSpread / 2,
            kSpread) {
    m_clock.Advance(milliseconds(4000));
    m_holds.SetAssignments({MakeOwnedAssignment(0, 9, 1)});
  }

  // Fraction of requests, started at any time, whose service time exceeds the
  // time for which the target may still serve their key.
  double FractionOutlastingHold(milliseconds lease) {
    int started = 0;
    int outlasting = 0;
    Clock::TimePoint lease_until;
    Clock::TimePoint next_heartbeat = m_clock.Now();
    for (milliseconds t{0}; t < kSimulatedTime; t += kTick) {
      m_clock.Advance(kTick);
      if (m_clock.Now() >= next_heartbeat) {
        lease_until = m_clock.Now() + lease;
        next_heartbeat = m_clock.Now() + MeshTiming().heartbeat_interval;
      }
      for (const PushHoldTracker::Grant& grant : m_holds.DueGrants(lease_until))
        m_holds.OnGranted(grant.id);
      const std::chrono::duration<double, std::milli> service_time(
          m_service_times(m_random));
      ++started;
      outlasting += service_time > m_holds.RemainingHold(5) ? 1 : 0;
    }
    return static_cast<double>(outlasting) / started;
  }

  // Shortest hold left at any time while the leader delays each reply by a
  // heartbeat interval and a round trip takes 20 ms.
  static milliseconds ShortestHold(milliseconds lease) {
    constexpr milliseconds kRoundTrip{20};
    constexpr milliseconds kStart{5000};
    ManualClock clock;
    clock.Advance(milliseconds(4000));
    PushHoldTracker holds{clock};
    holds.SetAssignments({MakeOwnedAssignment(0, 9, 1)});
    const milliseconds reply_time =
        MeshTiming().heartbeat_interval + kRoundTrip;
    Clock::TimePoint lease_until;
    Clock::TimePoint sent = clock.Now();
    auto shortest = milliseconds::max();
    for (milliseconds t{0}; t < kSimulatedTime; t += kTick) {
      clock.Advance(kTick);
      if (clock.Now() - sent >= reply_time) {
        lease_until = sent + lease;
        sent = clock.Now();
      }
      for (const PushHoldTracker::Grant& grant : holds.DueGrants(lease_until))
        holds.OnGranted(grant.id);
      if (t > kStart) {
        shortest = std::min(
            shortest, std::chrono::floor<milliseconds>(holds.RemainingHold(5)));
      }
    }
    return shortest;
  }

 private:
  static constexpr double kSpread = 0.8;

  ManualClock m_clock;
  PushHoldTracker m_holds{m_clock};
  std::mt19937_64 m_random{kSeed};
  std::lognormal_distribution<> m_service_times;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "short service times keep leases at their minimum") {
  length.UpdateServiceTimes(
      {milliseconds(120), milliseconds(150), milliseconds(190)});
  CHECK(length.DurationToStore() == timing.min_lease);
  CHECK(length.DurationToGrant() == timing.min_lease);
}

// Guards against requests that fail because their target's hold ends before
// they finish.
TEST_CASE_FIXTURE(Fixture,
                  "few requests with long service times outlast their hold") {
  constexpr milliseconds kMean{550};
  CHECK(BusyTarget(kMean).FractionOutlastingHold(timing.min_lease) > 0.1);
  length.UpdateServiceTimes({kMean});
  Store();
  CHECK(BusyTarget(kMean).FractionOutlastingHold(length.DurationToGrant()) <
        0.04);
}

// Guards against keys that stay unserved for long after the loss of a node.
TEST_CASE_FIXTURE(Fixture, "leases never exceed their maximum") {
  length.UpdateServiceTimes({milliseconds(5000)});
  Store();
  CHECK(length.DurationToGrant() == timing.max_lease);
}

// Guards against a later leader that assumes that a longer lease has already
// expired.
TEST_CASE_FIXTURE(Fixture, "a longer lease is granted only once it is stored") {
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

TEST_CASE_FIXTURE(
    Fixture,
    "a leader starts with the stored maximum of its predecessor") {
  const LeaseDurationController next(clock, timing, milliseconds(2800));
  CHECK(next.MaxDurationInForce() == milliseconds(2800));
  CHECK(next.DurationToStore() == milliseconds(2800));
}

// Guards against a record whose maximum lease is shorter than the leases in
// force.
TEST_CASE_FIXTURE(
    Fixture,
    "a shorter maximum is stored once longer leases have expired") {
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

// Guards against the same failure if service times increase again while the
// record is being written.
TEST_CASE_FIXTURE(Fixture,
                  "no lease exceeds the maximum in the record being written") {
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

// Guards against runs that are aborted although all leases cover the mean:
// calls of 30 ms make the mean of calls and reports short.
TEST_CASE_FIXTURE(Fixture, "the hold at any start covers a long run") {
  for (const int run_ms : {300, 700, 1200}) {
    const milliseconds long_run(run_ms);
    length.UpdateLongRuns({long_run});
    Store();
    CHECK(BusyTarget::ShortestHold(length.DurationToGrant(long_run)) >=
          long_run);
  }
}

TEST_CASE_FIXTURE(Fixture, "a slow target lengthens only its own lease") {
  length.UpdateLongRuns({milliseconds(200), milliseconds(5000)});
  Store();
  CHECK(length.DurationToGrant(milliseconds(200)) == timing.min_lease);
  CHECK(length.DurationToGrant(milliseconds(5000)) == timing.max_lease);
  CHECK(length.MaxDurationInForce() == timing.max_lease);
}

// Guards against a later leader that assumes that a longer lease has already
// expired.
TEST_CASE_FIXTURE(Fixture, "a lease for long runs waits for the record") {
  length.UpdateLongRuns({milliseconds(900)});
  CHECK(length.DurationToGrant(milliseconds(900)) == timing.min_lease);
  Store();
  CHECK(length.DurationToGrant(milliseconds(900)) > milliseconds(2500));
}

// Guards against a record that is written all the time: long runs vary, while
// work takes three times as long for 0.4 s in every 2 s.
TEST_CASE_FIXTURE(Fixture, "varying long runs cause few writes of the record") {
  constexpr int kRounds = 4 * 60;
  int writes = 0;
  for (int round = 0; round < kRounds; ++round) {
    clock.Advance(milliseconds(250));
    length.UpdateLongRuns({milliseconds(round % 8 < 2 ? 900 : 500)});
    if (length.DurationToStore() != length.MaxDurationInForce()) {
      ++writes;
      Store();
    }
  }
  CHECK(writes == 1);
}

// Guards against leases that stay long for good after long runs have ended.
TEST_CASE_FIXTURE(Fixture, "leases are shortened slowly, in force and stored") {
  length.UpdateLongRuns({milliseconds(900)});
  Store();
  const milliseconds longer = length.MaxDurationInForce();
  const auto run = [this](milliseconds duration) {
    for (milliseconds t{0}; t < duration; t += milliseconds(250)) {
      clock.Advance(milliseconds(250));
      length.UpdateServiceTimes({});
      length.UpdateLongRuns({milliseconds(100)});
    }
  };
  run(milliseconds(15'000));
  CHECK(length.DurationToStore() == longer);
  run(milliseconds(30'000));
  CHECK(length.DurationToStore() == timing.min_lease);
}

}  // namespace citrongrade
