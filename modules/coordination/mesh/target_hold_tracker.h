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

// What one target holds, and what it may still hold.
//
// How grants reach a target differs between platforms, and with it when a range
// may be served and when it counts as given back. Common to all is kept here:
// the ranges, the view's runs that they follow, and who may ask what.
//
// How to use it: SetOwned() with each new view; runs that are to move are given
// back. Everything that Returned() lists goes into each heartbeat, until the
// view shows another owner.
//
// Thread-confined, no input or output. Kin: HoldBook grants by orders of its
// own, ReportedHolds in the answers to a target's reports.
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

  // Whatever an earlier process of this node granted, by a lease of at most
  // this length, may hold as long from this one's start.
  void SetMaxLease(Clock::Duration longest);
  // The runs that the view gives to the target's present life.
  void SetAssignments(const std::vector<SlotAssignment>& owned);
  // The target's process is another one, or gone: it holds nothing.
  void Clear();

  bool MayServe(std::uint32_t slot) const;
  // How much longer the target may serve it; a run that it has begun ends then,
  // also if the hold is renewed meanwhile. Zero: it may not.
  Clock::Duration RemainingHold(std::uint32_t slot) const;
  // The view gives it to this target, which has not been granted it yet.
  bool IsAwaitingGrant(std::uint32_t slot) const;
  // It is about to be served elsewhere.
  bool IsBeingReleased(std::uint32_t slot) const;
  // What the target has given back, or holds no more.
  virtual std::vector<ReturnedRange> ReturnedRanges() = 0;
  // The target holds nothing after this, unless it is granted anew.
  virtual Clock::TimePoint HeldUntil() const = 0;
  // True once every range that the view gives is held or given back.
  bool HasReturnedAllRanges() const;
  std::size_t range_count() const { return m_holds.size(); }

 protected:
  enum class State { kAwaitingGrant, kHeld, kReleasing, kReturned };

  struct Hold {
    SlotRange range;
    std::uint64_t fence = 0;
    std::string handover;
    State state = State::kAwaitingGrant;
    // The target serves it until then.
    Clock::TimePoint serve_until;
    // A grant whose end is not known may keep it held until then.
    Clock::TimePoint may_hold_until;
    std::string returned_handover;

    // Of HoldBook.
    Clock::TimePoint next_call;
    // Of the call under way; 0: none.
    std::uint64_t call_id = 0;
    Clock::TimePoint call_sent_at;
    std::chrono::milliseconds call_hold{0};
    bool was_release_unanswered = false;
    // The target confirmed the release.
    bool is_released = false;

    // Of ReportedHolds.
    // Served until the next answer leaves it out.
    bool is_to_release = false;
    // The target has reported that it holds it.
    bool is_confirmed = false;
    // Answers in a row after which the target did not report it.
    unsigned ignored_replies = 0;
  };

  // A call that was given up may arrive this much later than it was sent.
  static constexpr std::chrono::milliseconds kCallTimeout{400};
  // The node stops giving work before the hold ends, by a local call's time.
  static constexpr std::chrono::milliseconds kServeMargin{15};
  // A target's clock may run this much slow: a hold lasts longer by it.
  static constexpr double kMinTargetClockRate = 0.98;
  // A hold for less is not worth a grant.
  static constexpr std::chrono::milliseconds kMinHold{60};

  // How long a hold lasts at most by the node's clock.
  static std::chrono::milliseconds MaxDurationByNodeClock(
      std::chrono::milliseconds hold);

  // `earlier`: what an earlier process of this node granted holds at most that
  // much longer.
  TargetHoldTracker(const Clock& clock, Clock::Duration earlier);

  // The view has it move away.
  virtual void OnMustRelease(Hold& hold) = 0;

  void SplitAt(std::uint32_t slot);
  void MergeAdjacentHolds();
  Clock::TimePoint Now() const { return m_clock.Now(); }
  std::vector<Hold>& holds() { return m_holds; }
  const std::vector<Hold>& holds() const { return m_holds; }

 private:
  static bool CanMerge(const Hold& left, const Hold& right);
  const Hold* FindHold(std::uint32_t slot) const;
  // Moves what is held of the run from the book to `holds`, and adds what is
  // still to be granted.
  void MoveHoldsOf(const SlotAssignment& run, std::vector<Hold>& holds);
  // What is left in the book: the view gives it to nobody here any more.
  void DropUnassignedHolds();

  const Clock& m_clock;
  const Clock::TimePoint m_started;
  // What an earlier process of this node granted, or what is no longer in the
  // book, may hold until then.
  Clock::TimePoint m_untracked_until;
  // In the order of their slots.
  std::vector<Hold> m_holds;
};

}  // namespace citrongrade
