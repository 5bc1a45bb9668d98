#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/target_hold_tracker.h"
#include "modules/state/mesh/key_slot.h"

namespace citrongrade {

// Tracks the holds of a target that receives its grants in the replies to its
// own reports.
//
// Each reply lists every range that the target is to hold and gives the
// duration of the holds, counted from when the report was sent. The target
// releases the ranges that are not listed and extends the holds of those that
// are; a lost reply changes nothing. Each report lists the ranges that the
// target holds or still works on, and those that it has released. A range that
// is to move is therefore served until a reply omits it. It counts as returned
// once a later report says so, or once every reply that listed it has expired.
//
// A report reflects all earlier replies that will ever take effect: a target
// sends one report at a time, and ignores the reply to a report that it has
// abandoned.
//
// Usage: as described at TargetHoldTracker. Call OnReport() for each report and
// then MakeGrantReply() for its reply; ignore reports that arrive out of order.
//
// Not thread-safe; does no I/O. See also PushHoldTracker, for targets that take
// calls, and TargetController, which replies to the reports.
class PollingHoldTracker final : public TargetHoldTracker {
 public:
  struct HeldRange {
    SlotRange range;
    std::uint64_t fence = 0;

    friend auto operator<=>(const HeldRange&, const HeldRange&) = default;
  };

  struct ReleasedRange {
    SlotRange range;
    // Opaque data of the target for the next holder of the range.
    std::string handover;

    friend auto operator<=>(const ReleasedRange&,
                            const ReleasedRange&) = default;
  };

  struct Report {
    std::vector<HeldRange> held;
    // Ranges released since the last report that got a reply.
    std::vector<ReleasedRange> released;

    friend auto operator<=>(const Report&, const Report&) = default;
  };

  struct GrantedRange {
    SlotRange range;
    std::uint64_t fence = 0;
    // Handover data of the previous holder; empty if there is none or the
    // target already has it.
    std::string handover;

    friend auto operator<=>(const GrantedRange&, const GrantedRange&) = default;
  };

  // Lists every range that the target is to hold.
  struct GrantReply {
    std::vector<GrantedRange> ranges;
    // Duration of the holds, counted from when the report was sent.
    std::chrono::milliseconds hold{0};

    friend auto operator<=>(const GrantReply&, const GrantReply&) = default;
  };

  // A reply may be 4 KiB long: about a hundred ranges of up to 26 bytes each
  // besides their handovers, and the enclosing message.
  static constexpr std::size_t kMaxGrantReplyBytes = 3900;
  static constexpr std::size_t kGrantedRangeBytes = 28;
  // After this many replies without effect a range counts as refused: the
  // target has seen a higher fencing token, and only a new token helps. Two
  // replies may be lost in a row while a node is slow.
  static constexpr unsigned kMaxIgnoredReplies = 3;

  // `earlier_grants`: upper bound of the remaining time of grants by an earlier
  // process of this node.
  PollingHoldTracker(const Clock& clock, Clock::Duration earlier_grants);

  void OnReport(const Report& report);
  // True if a reply would change what the target holds, or if the target is
  // releasing ranges and waits to report again.
  bool HasPendingChanges() const;
  // `reported`: when the report arrived. `lease_until`: until when the node may
  // let its target serve. Returns nothing if there is no lease; a reply without
  // grants leaves the target's current holds to expire.
  std::optional<GrantReply> MakeGrantReply(Clock::TimePoint reported,
                                           Clock::TimePoint lease_until);

  std::vector<ReturnedRange> ReturnedRanges() override;
  Clock::TimePoint HeldUntil() const override;

 private:
  void OnMustRelease(Hold& hold) override;
  void SplitAtReportedRanges(const Report& report);
  static void UpdateGrantedHold(Hold& hold, bool is_held);
  static void UpdateReleasingHold(Hold& hold,
                                  bool is_held,
                                  const ReleasedRange* released,
                                  Clock::TimePoint now);

  // The target reported a range that the view does not assign to it.
  bool m_holds_unassigned_range = false;
};

}  // namespace citrongrade
