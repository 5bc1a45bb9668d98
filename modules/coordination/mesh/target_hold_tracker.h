#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/state/mesh/key_slot.h"
#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// Tracks the key ranges that one target holds, and those that it may still
// hold.
//
// Platforms differ in how grants reach a target, and therefore in when a range
// may be served and when it counts as returned. This base class contains what
// they have in common: the ranges, the slot assignments of the mesh view that
// they follow, and the queries.
//
// Usage: call SetAssignments() with each new view; assignments that are to move
// are released. Include all of ReturnedRanges() in each heartbeat until the
// view shows another owner.
//
// Not thread-safe; does no I/O. See also PushHoldTracker, which sends grants by
// calls to the target, and PollingHoldTracker, which sends them in the replies
// to the target's reports.
class TargetHoldTracker {
 public:
  struct ReturnedRange {
    SlotRange range;
    std::uint64_t fence = 0;
    std::string handover;

    friend auto operator<=>(const ReturnedRange&,
                            const ReturnedRange&) = default;
  };

  virtual ~TargetHoldTracker() = default;

  // `max_lease`: upper bound of the leases that an earlier process of this node
  // had. Its grants may hold for that long after the start of this process.
  void SetMaxLease(Clock::Duration max_lease);
  // Nobody listened at the target's address when this process started, so that
  // no target is left which an earlier process of this node has granted keys.
  // Must be called before anything is granted.
  void DiscountEarlierProcess();
  // Sets the assignments that the view gives to the target's current
  // incarnation.
  void SetAssignments(const std::vector<SlotAssignment>& assignments);
  // Another process reports from the target's address. That proves neither that
  // the earlier process has ended, nor that the grants meant for it have
  // reached no other: they last until they are released or have run out.
  void BeginIncarnation();
  // The target holds nothing any more: its process has died, or its holds have
  // run out. Its ranges count as returned, as it may be back before the leader
  // hears of it, and the leader may have given them on with a higher fencing
  // token.
  virtual void EndAll();
  // Whether grants that were meant for an earlier process of the target, or
  // sent by an earlier process of this node, may still hold.
  virtual bool HasEarlierGrants();

  bool MayServe(std::uint32_t slot) const;
  // Time for which the target may still serve the slot; zero if it may not. A
  // request that is already running has to finish within this time even if the
  // hold is renewed in the meantime.
  Clock::Duration RemainingHold(std::uint32_t slot) const;
  // The view assigns the slot to this target, but it has not been granted yet.
  bool IsAwaitingGrant(std::uint32_t slot) const;
  // The slot is about to be served by another target.
  bool IsBeingReleased(std::uint32_t slot) const;
  // The target holds the slot, or is to be granted it. Also true while the hold
  // has lapsed for lack of a renewal.
  bool IsAssigned(std::uint32_t slot) const;
  // Ranges that the target has released or whose holds have expired.
  virtual std::vector<ReturnedRange> ReturnedRanges() = 0;
  // Time after which the target holds nothing unless there are new grants.
  virtual Clock::TimePoint HeldUntil() const = 0;
  // True if every tracked range has been returned, or if there are none.
  bool HasReturnedAllRanges() const;
  std::size_t range_count() const { return m_holds.size(); }

 protected:
  enum class State { kAwaitingGrant, kHeld, kReleasing, kReturned };

  struct Hold {
    SlotRange range;
    std::uint64_t fence = 0;
    std::string handover;
    State state = State::kAwaitingGrant;
    // End of the time in which the target serves the range.
    Clock::TimePoint serve_until;
    // Latest time until which any grant may keep the range held, including
    // grants whose outcome is unknown.
    Clock::TimePoint may_hold_until;
    std::string returned_handover;

    // The following members are used by PushHoldTracker.
    Clock::TimePoint next_call;
    // Id of the call in progress; 0 if there is none.
    std::uint64_t call_id = 0;
    Clock::TimePoint call_sent_at;
    std::chrono::milliseconds call_hold{0};
    bool was_release_unanswered = false;
    // The target has confirmed the release.
    bool is_released = false;

    // The following members are used by PollingHoldTracker.

    // The next reply omits the range, which is served until then.
    bool is_to_release = false;
    // The target has reported the range as held.
    bool is_confirmed = false;
    // Number of consecutive replies after which the target did not report the
    // range as held.
    unsigned ignored_replies = 0;
  };

  // A call that timed out may still reach the target up to this long after it
  // was sent.
  static constexpr std::chrono::milliseconds kCallTimeout{400};
  // The node stops sending requests this long before the hold ends: the
  // duration of a local call.
  static constexpr std::chrono::milliseconds kServeMargin{15};
  // Slowest rate of a target's clock relative to the node's. A hold lasts
  // correspondingly longer by the node's clock.
  static constexpr double kMinTargetClockRate = 0.98;
  // Shortest hold that is worth a grant.
  static constexpr std::chrono::milliseconds kMinHold{60};

  // Longest time, by the node's clock, that a hold of this duration lasts.
  static std::chrono::milliseconds MaxDurationByNodeClock(
      std::chrono::milliseconds hold);

  // `earlier_grants`: upper bound of the remaining time of grants by an earlier
  // process of this node.
  TargetHoldTracker(const Clock& clock, Clock::Duration earlier_grants);

  // Called when the view moves the range to another owner.
  virtual void OnMustRelease(Hold& hold) = 0;
  // Called with each hold of a process that may have been replaced.
  virtual void OnReplaced(const Hold& hold);
  // Latest end of a grant that is on its way, or for which no release will be
  // sent.
  void ExtendUntracked(Clock::TimePoint until);
  Clock::TimePoint untracked_until() const { return m_untracked_until; }
  // Time by which a call in progress has no effect any more; the earliest time
  // point if there is none.
  static Clock::TimePoint CallEnd(const Hold& hold);

  void SplitAt(std::uint32_t slot);
  void MergeAdjacentHolds();
  Clock::TimePoint Now() const { return m_clock.Now(); }
  std::vector<Hold>& holds() { return m_holds; }
  const std::vector<Hold>& holds() const { return m_holds; }

 private:
  static bool CanMerge(const Hold& left, const Hold& right);
  const Hold* FindHold(std::uint32_t slot) const;
  // Moves the assignment's holds from m_holds to `holds`, and adds the parts
  // that still have to be granted.
  void MoveHoldsOf(const SlotAssignment& assignment, std::vector<Hold>& holds);
  // Keeps in m_untracked_until how long the holds left in m_holds may last. The
  // view no longer assigns these to this target.
  void DropUnassignedHolds();

  const Clock& m_clock;
  const Clock::TimePoint m_started;
  bool m_counts_earlier_process = true;
  // Grants of an earlier process of this node, or of holds that are no longer
  // tracked, may last until then.
  Clock::TimePoint m_untracked_until;
  // Sorted by slot.
  std::vector<Hold> m_holds;
};

}  // namespace citrongrade
