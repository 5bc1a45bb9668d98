#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/target_description.h"

namespace citrongrade {

// Picks the target for a request to a service that isn't sharded.
//
// It takes the better of two random targets by the number of this node's own
// outstanding requests (power of two choices). A static hash ignores load. By
// reported load alone, every node sends to the same target until the next
// report, and a target that reports zero attracts all requests for good. Own
// outstanding requests can't be misreported, and different nodes draw different
// pairs.
//
// The score is the number of own outstanding requests divided by capacity, plus
// the reported load, both times the slowness. Reported load decays with
// kReportHalfLife and counts for at most kReportedLoadWeight of the capacity:
// enough to tell a busy target from an idle one that this node hasn't used,
// never enough to outweigh a queue that this node sees. Slowness is how long
// the target's recent answers took compared with the mean of their route. It is
// needed because with many nodes each has few outstanding requests at any
// target, so one behind an overloaded host or link would get as many requests
// as the others.
//
// Targets of the own availability zone go first while the better of two has
// capacity left (utilization times slowness below kMaxLocalUtilization). Where
// latencies are reported relative to the target latency
// (OnTargetLatencyRatio()), a target of the own zone has capacity left as long
// as its answers are within that: a slower target near by is as good for the
// caller, and traffic between zones is expensive. By slowness alone, a third of
// the requests left a zone whose target was merely the slower one.
//
// Use one picker for each WorkClass. With one for both, uploads outstanding at
// a target moved short requests to the other targets, alternating with the
// length of an upload, and the p99 of short requests among long ones was 61 ms.
// With two it is 52 ms (30 ms without long requests).
//
// Thread-confined. Not for sharded services, where the key's owner gets the
// request. See also TargetEjection, which decides which targets are eligible.
class TargetPicker {
 public:
  static constexpr double kReportedLoadWeight = 0.25;
  static constexpr double kMaxLocalUtilization = 0.5;
  static constexpr std::chrono::milliseconds kReportHalfLife{1000};
  // Slowness decays, so that a target that was slow is tried again.
  static constexpr std::chrono::milliseconds kSlownessHalfLife{2000};
  // Ratio of latency to target latency in the own zone up to which all requests
  // stay there, and from which on none does; in between the share decreases
  // linearly. With 0.6 and 0.9 traffic between zones was as low, and on a day
  // with few targets left the requests that were sent away too early cost 0.028
  // of the load test's score.
  static constexpr double kSpilloverStart = 0.8;
  static constexpr double kSpilloverFull = 1.3;
  // Bounds of one sample, so that a single answer has no lasting effect.
  static constexpr double kMinSlowness = 0.5;
  static constexpr double kMaxSlowness = 10;

  TargetPicker(const Clock& clock,
               std::mt19937_64& random,
               AvailabilityZone own_zone);
  ~TargetPicker();
  TargetPicker(const TargetPicker&) = delete;
  TargetPicker& operator=(const TargetPicker&) = delete;

  // Adds a target or updates its description. Its outstanding requests stay
  // counted.
  void SetTarget(const TargetDescription& target);
  void RemoveTarget(const TargetId& id);

  // Includes or excludes a target, as TargetEjection decides. Throws
  // UnknownTargetError, as do the functions below unless they say otherwise.
  void SetEligible(const TargetId& id, bool eligible);

  // Share of its capacity that the target may use now, from its ColdStartRamp.
  void SetCapacityShare(const TargetId& id, double share);

  // `load`: running plus queued requests as reported by the target itself.
  // `lag`: age of the report on arrival.
  void OnReport(const TargetId& id, std::size_t load, Clock::Duration lag);

  // `slowness`: the time until an answer, or until the request was given up,
  // divided by the mean latency of its route over all targets. Ignores a
  // removed target.
  void OnSlowness(const TargetId& id, double slowness);

  // `ratio`: the latency of an answer divided by the target latency of its
  // route; above 1 for a request that was refused for lack of capacity. Ignores
  // a removed target.
  void OnTargetLatencyRatio(const TargetId& id, double ratio);

  void OnSent(const TargetId& id);
  // Ignores a removed target.
  void OnFinished(const TargetId& id);

  // Returns nullopt if no target is eligible. `excluded`: a target that has
  // just failed.
  std::optional<TargetId> Pick(
      const std::optional<TargetId>& excluded = std::nullopt);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
