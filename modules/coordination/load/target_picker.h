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

// Where a request for a service that is not divided by key goes.
//
// Load patterns: a slow target, one that lies about its load, many nodes that
// pick at once. A static hash ignores load. The least loaded by reports draws
// every node to the same target until the next report, and a target that
// reports zero draws everything for good. Two random choices by own outstanding
// work have neither fault: what this node sees of its own requests can't lie,
// and no two nodes draw the same pair.
//
// Score: own outstanding work by capacity, plus reported load, aged by
// half-life and worth at most kReportedCap of the capacity: enough to tell a
// busy target from an idle one that this node has not used, never enough to
// outweigh a queue that this node sees. All that times how slow its answers
// were of late: with many nodes each has little outstanding at any target, and
// one behind a choked host or link would draw as much as the others. Targets of
// the own availability zone go first while the better of two has room (score
// below kRoomBelow).
//
// Where answers are told as parts of their target latency (OnLatencyShare), a
// target of the own zone has room for as long as its answers come within that:
// a slower one near by is as good for the caller, and bytes between zones are
// dear. Judged by slowness alone, a third of the requests left a zone whose
// target was merely the slower one.
//
// One for each class of work. With one for both, uploads outstanding at a
// target drove short work to the others in turns of an upload's length, and p99
// of short work among long was 61 ms; with two it is 52 ms (30 ms alone).
//
// Thread-confined. Not for services divided by key: there the owner decides.
// Kin: TargetEjection says who may be picked.
class TargetPicker {
 public:
  static constexpr double kReportedLoadWeight = 0.25;
  static constexpr double kMaxLocalUtilization = 0.5;
  static constexpr std::chrono::milliseconds kReportHalfLife{1000};
  // A target that was slow is tried again as what it did fades.
  static constexpr std::chrono::milliseconds kSlownessHalfLife{2000};
  // Of their target latency, answers of the own zone take this part or less
  // where all work stays, and this part where none does; in between ever less
  // stays. With 0.6 and 0.9 bytes between zones were as few, and on a day with
  // few targets left 0.028 of the worth was lost by work sent away too soon.
  static constexpr double kSpilloverStart = 0.8;
  static constexpr double kSpilloverFull = 1.3;
  // Bounds of one answer's slowness: a single one must not decide for long.
  static constexpr double kMinSlowness = 0.5;
  static constexpr double kMaxSlowness = 10;

  TargetPicker(const Clock& clock,
               std::mt19937_64& random,
               AvailabilityZone own_zone);
  ~TargetPicker();
  TargetPicker(const TargetPicker&) = delete;
  TargetPicker& operator=(const TargetPicker&) = delete;

  // Adds a target or changes its description; keeps what is outstanding.
  void SetTarget(const TargetDescription& target);
  void RemoveTarget(const TargetId& id);

  // False takes it out of the choice; set from TargetEjection. Throws
  // UnknownTargetError, as do the calls below.
  void SetEligible(const TargetId& id, bool eligible);

  // Share of its capacity that it may be given now, from its ColdStartRamp.
  void SetCapacityShare(const TargetId& id, double share);

  // `load` is running plus queued as the target itself reports; `lag` is how
  // old the report was on arrival.
  void OnReport(const TargetId& id, std::size_t load, Clock::Duration lag);

  // How long an answer took, or was waited for in vain, by what answers of its
  // kind take from all targets. Ignores a target that was removed meanwhile.
  void OnSlowness(const TargetId& id, double slowness);

  // How long an answer took, as part of its kind's target latency; above 1 for
  // one that was refused for want of room. Ignores a target that was removed.
  void OnTargetLatencyRatio(const TargetId& id, double share);

  void OnSent(const TargetId& id);
  // Ignores a target that was removed meanwhile.
  void OnFinished(const TargetId& id);

  // None when no target is eligible. `excluded`: the one that has just failed.
  std::optional<TargetId> Pick(
      const std::optional<TargetId>& excluded = std::nullopt);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
