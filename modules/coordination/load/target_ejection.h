#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <random>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/target_call_outcome.h"

namespace citrongrade {

// Which targets of an undivided service get work, judged by what callers'
// requests saw of them, never by what they say of themselves.
//
// Load patterns: a slow, frozen or lying target; a mesh-wide slowdown. Without
// ejection one frozen target of three takes a share of the requests to their
// deadlines, and health that lags calls it well. Without the floor a slow store
// behind all targets ejects them one by one, and the last one dies.
//
// A target is ejected for kConsecutiveFailures in a row, for answering nothing
// at all, or when over a window its failures and refusals exceed half (one that
// refuses at once has nothing outstanding and would draw all the work), or its
// mean latency exceeds `latency_factor` times the median of all: against the
// median a mesh-wide slowdown shows nobody. At
// most `max_ejected_share` of all are out (rounded down), and when most qualify
// at once nobody is ejected. An ejected one returns by probes: after a pause
// that doubles (with jitter), one request at a time, and kProbesToReturn good
// ones in a row bring it back.
//
// A leaving target gets no new work at once; one that stops announcing itself
// gets none after `announcement_timeout`, whatever the floor says.
//
// Thread-confined. Kin: TargetPicker.
class TargetEjection {
 public:
  struct Parameters {
    std::chrono::milliseconds window{1000};
    std::size_t min_samples = 10;
    double max_latency_ratio = 3;
    double max_ejected_share = 0.34;
    std::chrono::milliseconds initial_backoff{2000};
    std::chrono::milliseconds max_backoff{30'000};
    std::chrono::milliseconds announcement_timeout{2000};
    std::chrono::milliseconds warm_up{30'000};

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  enum class State { kServing, kEjected, kProbing, kLeaving, kExpired };

  static constexpr std::size_t kConsecutiveFailures = 5;
  static constexpr std::size_t kProbesToReinstate = 3;

  TargetEjection(const Clock& clock,
                 std::mt19937_64& random,
                 const Parameters& parameters);
  ~TargetEjection();
  TargetEjection(const TargetEjection&) = delete;
  TargetEjection& operator=(const TargetEjection&) = delete;

  // An announcement adds the target, or shows that it is alive. `leaving` once
  // true stays true until RemoveTarget(): a late announcement can't revert it.
  void OnAnnounced(const TargetId& id, bool leaving);
  void RemoveTarget(const TargetId& id);
  // It has just started: for `warm_up` it is not judged by its latency. Ejected
  // for being cold, it would get nothing to warm up by, and stay out for good.
  // Throws UnknownTargetError, as do the calls below that take a target.
  void MarkCold(const TargetId& id);

  // For each request sent; it marks a probe as under way.
  void OnSent(const TargetId& id);
  // `latency` until the answer, or until given up. Ignores removed targets.
  void OnFinished(const TargetId& id,
                  TargetCallOutcome outcome,
                  Clock::Duration latency);

  // Closes windows and ends pauses; call every 100 ms or so.
  void Poll();

  // A probing target may get one when none is under way. False, without a
  // throw, for a target that was never announced.
  bool IsEligible(const TargetId& id) const;
  State StateOf(const TargetId& id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
