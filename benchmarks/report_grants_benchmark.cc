// Holds of a target that is granted keys in the answers to its reports, in
// virtual time: how long it is without them over a calm hour, by the share of
// answers that are lost, and how long keys of a lost node go unserved.
//
// Usage: report_grants_benchmark [LEASE_MS]

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/mesh/mesh_timing.h"
#include "modules/coordination/mesh/polling_hold_tracker.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// Reports come this often, a twentieth sooner or later.
constexpr int kReportMs = 870;
constexpr int kJitterMs = 43;
// An answer waits so long for news.
constexpr int kAnswerWaitMs = 600;
constexpr milliseconds kHour{3'600'000};
constexpr int kLosses = 20;

SlotAssignment WholeTable() {
  SlotAssignment run;
  run.range = {0, kSlotCount - 1};
  run.owner = "self";
  run.fence = 1;
  return run;
}

class Target {
 public:
  Target(std::uint64_t seed, milliseconds lease, double lost)
      : m_random(seed), m_lease(lease), m_lost(lost), m_holds(m_clock, lease) {
    m_holds.SetAssignments({WholeTable()});
  }

  struct Outcome {
    int lapses = 0;
    milliseconds without{0};
  };

  Outcome Run(milliseconds duration) {
    Outcome outcome;
    const Clock::TimePoint end = m_clock.Now() + duration;
    while (m_clock.Now() < end) {
      const Clock::TimePoint sent = m_clock.Now();
      const bool is_held = sent < m_held_until;
      PollingHoldTracker::Report report;
      if (is_held)
        report.held.push_back({WholeTable().range, 1});
      m_holds.OnReport(report);
      const bool waits = !m_holds.HasPendingChanges();
      m_clock.Advance(milliseconds(waits ? kAnswerWaitMs : 1));
      Answer(sent, outcome);
      const int period = kReportMs + Jitter();
      m_clock.Advance(sent + milliseconds(period) - m_clock.Now());
    }
    return outcome;
  }

 private:
  int Jitter() {
    return std::uniform_int_distribution<>(-kJitterMs, kJitterMs)(m_random);
  }

  void Answer(Clock::TimePoint sent, Outcome& outcome) {
    const MeshTiming timing;
    // The node's last heartbeat was answered up to a heartbeat ago.
    const milliseconds age(std::uniform_int_distribution<>(
        0, static_cast<int>(timing.heartbeat_interval.count()))(m_random));
    const auto statement =
        m_holds.MakeGrantReply(sent, m_clock.Now() + m_lease - age);
    const bool is_lost =
        std::uniform_real_distribution<>(0, 1)(m_random) < m_lost;
    if (is_lost || !statement)
      return;
    const Clock::TimePoint now = m_clock.Now();
    if (m_held_until != Clock::TimePoint() && m_held_until < now) {
      ++outcome.lapses;
      outcome.without +=
          std::chrono::duration_cast<milliseconds>(now - m_held_until);
    }
    m_held_until = std::max(m_held_until, sent + statement->hold);
  }

  ManualClock m_clock;
  std::mt19937_64 m_random;
  const milliseconds m_lease;
  const double m_lost;
  PollingHoldTracker m_holds;
  Clock::TimePoint m_held_until;
};

// From the loss of a node to the answer that gives its keys to another target:
// the rest of its lease, the leader's margin, its next step, and the wait for a
// report of the gainer where none waits for its answer.
std::vector<int> Takeovers(milliseconds lease) {
  const MeshTiming timing;
  constexpr int kLeaderStepMs = 40;
  std::mt19937_64 random(1);
  std::vector<int> times;
  for (int i = 0; i < kLosses; ++i) {
    const auto any = [&random](int most) {
      return std::uniform_int_distribution<>(0, most)(random);
    };
    const int lease_left =
        static_cast<int>(lease.count()) -
        any(static_cast<int>(timing.heartbeat_interval.count()));
    const int phase = any(kReportMs);
    const int wait = phase < kAnswerWaitMs ? 1 : kReportMs - phase;
    times.push_back(lease_left +
                    static_cast<int>(timing.max_clock_drift.count()) +
                    any(kLeaderStepMs) + wait);
  }
  std::sort(times.begin(), times.end());
  return times;
}

void Play(milliseconds lease) {
  for (const double lost : {0.0, 0.001, 0.01, 0.05}) {
    const Target::Outcome outcome = Target(1, lease, lost).Run(kHour);
    std::printf("lease_ms=%ld lost=%.3f lapses=%d without_ms=%ld\n",
                static_cast<long>(lease.count()), lost, outcome.lapses,
                static_cast<long>(outcome.without.count()));
  }
  const std::vector<int> times = Takeovers(lease);
  std::printf("lease_ms=%ld takeover_p50_ms=%d takeover_max_ms=%d losses=%d\n",
              static_cast<long>(lease.count()), times[times.size() / 2],
              times.back(), kLosses);
}

}  // namespace

}  // namespace citrongrade

int main(int argc, char** argv) {
  using std::chrono::milliseconds;
  const citrongrade::MeshTiming timing;
  citrongrade::Play(argc > 1 ? milliseconds(std::atoi(argv[1]))
                             : timing.min_lease);
  return 0;
}
