#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <random>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/target_call_outcome.h"

namespace citrongrade {

// Decides which targets of a service that isn't sharded may get requests
// (outlier ejection). Targets are judged by the outcomes of callers' requests
// only, never by what they report about themselves.
//
// It covers a slow or stalled target, one that reports wrong load or health,
// and a slowdown of the whole mesh. Without ejection, one stalled target of
// three holds its share of the requests until their deadlines, while delayed
// health reports still call it healthy. Without `max_ejected_share`, a slow
// store behind all targets gets them ejected one by one, and the last one is
// overloaded.
//
// A target is ejected after kConsecutiveFailures failures in a row, when it
// answers none of its outstanding requests, when more than half of a window's
// samples are failures or refusals, or when its mean latency exceeds
// `max_latency_ratio` times the median of all targets. A target that refuses at
// once has nothing outstanding and would otherwise attract all requests. By the
// median no target stands out in a slowdown of the whole mesh.
//
// At most `max_ejected_share` of all targets are out (rounded down), and when
// more than half of them qualify at once none is ejected. An ejected target
// returns by probing: after a backoff that doubles each time (with jitter) it
// gets one request at a time, and kProbesToReinstate successful ones in a row
// reinstate it.
//
// A leaving target gets no new requests from then on; one that stops announcing
// itself gets none after `announcement_timeout`. `max_ejected_share` doesn't
// apply to either.
//
// Thread-confined. See also TargetPicker.
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

  // Adds the target, or records that it is alive. Once `leaving` is true it
  // stays true until RemoveTarget(), so that a delayed announcement can't
  // revert it.
  void OnAnnounced(const TargetId& id, bool leaving);
  void RemoveTarget(const TargetId& id);
  // Call this for a target that has just started: for the time `warm_up` its
  // latency isn't judged. If it were ejected for being cold, it would get no
  // requests to warm up with and never return.
  //
  // Throws UnknownTargetError, as do the functions below unless they say
  // otherwise.
  void MarkCold(const TargetId& id);

  // Call this for each request sent. If the target is probing, the request is
  // its probe.
  void OnSent(const TargetId& id);
  // `latency`: time until the answer, or until the request was given up.
  // Ignores removed targets.
  void OnFinished(const TargetId& id,
                  TargetCallOutcome outcome,
                  Clock::Duration latency);

  // Ejects outliers, closes windows and starts probing after a backoff. Call it
  // about every 100 ms.
  void Poll();

  // A probing target is eligible while it has no probe in flight. Returns false
  // for an unknown target.
  bool IsEligible(const TargetId& id) const;
  State StateOf(const TargetId& id) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
