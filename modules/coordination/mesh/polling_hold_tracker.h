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

// What one target holds that takes grants with the answers to its own reports,
// and what it may still hold.
//
// Each answer states all that the target is to hold, and for how long, counted
// from when it sent the report: what is left out it gives back, what is named
// again lasts longer, and an answer that is lost changes nothing. Each report
// says what the target holds or still works on, and what it has given back. So
// a range that is to move is served until an answer leaves it out, and counts
// as given back once a later report says so, or once every answer that named it
// has run out.
//
// A report shows all earlier answers that will ever take effect: a target sends
// one at a time, and takes no answer to one that it has given up.
//
// How to use it: as TargetHolds says. OnReport() for each report, then
// MakeStatement() for its answer; nothing for reports that were overtaken.
//
// Thread-confined, no input or output. Kin: HoldBook, for targets that take
// orders; TargetKeeper, which answers reports.
class PollingHoldTracker final : public TargetHoldTracker {
 public:
  struct HeldRange {
    SlotRange range;
    std::uint64_t fence = 0;

    friend auto operator<=>(const HeldRange&, const HeldRange&) = default;
  };

  struct ReleasedRange {
    SlotRange range;
    // For the next holder.
    std::string handover;

    friend auto operator<=>(const ReleasedRange&,
                            const ReleasedRange&) = default;
  };

  struct Report {
    std::vector<HeldRange> held;
    // Since the last report that was answered.
    std::vector<ReleasedRange> released;

    friend auto operator<=>(const Report&, const Report&) = default;
  };

  struct GrantedRange {
    SlotRange range;
    std::uint64_t fence = 0;
    // Of the last holder; empty where there is none, or the target has it.
    std::string handover;

    friend auto operator<=>(const GrantedRange&, const GrantedRange&) = default;
  };

  // All that the target is to hold.
  struct GrantReply {
    std::vector<GrantedRange> ranges;
    // Counts from when the report was sent.
    std::chrono::milliseconds hold{0};

    friend auto operator<=>(const GrantReply&, const GrantReply&) = default;
  };

  // An answer may be 4 KiB long: a hundred rows of up to 26 bytes beside their
  // handovers, and what stands around them.
  static constexpr std::size_t kMaxGrantReplyBytes = 3900;
  static constexpr std::size_t kGrantedRangeBytes = 28;
  // Answers without effect after which a range is taken for refused: the target
  // has seen a higher token, and only a new one helps. Two may be lost in a row
  // while a node is slow.
  static constexpr unsigned kMaxIgnoredReplies = 3;

  // `earlier`: what an earlier process of this node granted holds at most that
  // much longer.
  PollingHoldTracker(const Clock& clock, Clock::Duration earlier);

  void OnReport(const Report& report);
  // The answer would change what the target holds, or the target is giving
  // ranges back and waits for it to report again.
  bool HasPendingChanges() const;
  // `reported`: when the report arrived; `lease_until`: until when the node may
  // let its target serve. Nothing while there is no lease: an answer without a
  // statement leaves the target what it has for as long as it has it.
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
                                  const ReleasedRange* freed,
                                  Clock::TimePoint now);

  // The target reported a range that the view does not give it.
  bool m_holds_unassigned_range = false;
};

}  // namespace citrongrade
