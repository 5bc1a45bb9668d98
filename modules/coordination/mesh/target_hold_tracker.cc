#include "modules/coordination/mesh/target_hold_tracker.h"

#include <algorithm>
#include <utility>

namespace citrongrade {

using std::chrono::milliseconds;

milliseconds TargetHoldTracker::MaxDurationByNodeClock(milliseconds hold) {
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(hold.count()) / kMinTargetClockRate));
}

TargetHoldTracker::TargetHoldTracker(const Clock& clock,
                                     Clock::Duration earlier_grants)
    : m_clock(clock),
      m_started(clock.Now()),
      m_untracked_until(m_started + earlier_grants) {}

void TargetHoldTracker::DiscountEarlierProcess() {
  m_counts_earlier_process = false;
  m_untracked_until = m_started;
}

void TargetHoldTracker::SetMaxLease(Clock::Duration max_lease) {
  if (!m_counts_earlier_process)
    return;
  const Clock::TimePoint until = m_started + max_lease;
  m_untracked_until = std::max(m_untracked_until, until);
  for (Hold& hold : m_holds)
    hold.may_hold_until = std::max(hold.may_hold_until, until);
}

void TargetHoldTracker::SplitAt(std::uint32_t slot) {
  for (std::size_t i = 0; i < m_holds.size(); ++i) {
    Hold& hold = m_holds[i];
    if (hold.range.first >= slot || hold.range.last < slot)
      continue;
    Hold right = hold;
    hold.range.last = slot - 1;
    right.range.first = slot;
    m_holds.insert(m_holds.begin() + static_cast<std::ptrdiff_t>(i) + 1, right);
    return;
  }
}

bool TargetHoldTracker::CanMerge(const Hold& left, const Hold& right) {
  return left.range.last + 1 == right.range.first &&
         left.fence == right.fence && left.handover == right.handover &&
         left.state == right.state && left.state == State::kHeld &&
         left.call_id == 0 && right.call_id == 0 &&
         left.is_to_release == right.is_to_release &&
         left.is_confirmed == right.is_confirmed &&
         left.ignored_replies == right.ignored_replies;
}

void TargetHoldTracker::MergeAdjacentHolds() {
  std::vector<Hold> joined;
  for (Hold& hold : m_holds) {
    if (joined.empty() || !CanMerge(joined.back(), hold)) {
      joined.push_back(std::move(hold));
      continue;
    }
    Hold& last = joined.back();
    last.range.last = hold.range.last;
    last.serve_until = std::min(last.serve_until, hold.serve_until);
    last.may_hold_until = std::max(last.may_hold_until, hold.may_hold_until);
    last.next_call = std::min(last.next_call, hold.next_call);
  }
  m_holds = std::move(joined);
}

void TargetHoldTracker::MoveHoldsOf(const SlotAssignment& assignment,
                                    std::vector<Hold>& holds) {
  const Clock::TimePoint now = m_clock.Now();
  std::uint32_t uncovered = assignment.range.first;
  const auto add_awaiting_grant = [&](std::uint32_t end) {
    if (uncovered >= end)
      return;
    Hold hold;
    hold.range = {uncovered, end - 1};
    hold.fence = assignment.fence;
    hold.handover = assignment.handover;
    hold.next_call = now;
    hold.may_hold_until = m_untracked_until;
    holds.push_back(std::move(hold));
  };
  const std::size_t first = holds.size();
  const auto matches = [&assignment](const Hold& hold) {
    return assignment.range.Contains(hold.range) &&
           hold.fence == assignment.fence;
  };
  for (const Hold& hold : m_holds) {
    if (!matches(hold))
      continue;
    add_awaiting_grant(hold.range.first);
    uncovered = hold.range.last + 1;
    holds.push_back(hold);
  }
  std::erase_if(m_holds, matches);
  add_awaiting_grant(assignment.range.last + 1);
  if (!assignment.is_moving())
    return;
  for (std::size_t i = first; i < holds.size(); ++i)
    OnMustRelease(holds[i]);
}

void TargetHoldTracker::DropUnassignedHolds() {
  const Clock::TimePoint now = m_clock.Now();
  for (const Hold& hold : m_holds) {
    if (hold.state == State::kReturned)
      continue;
    // If the keys are assigned again with the same fencing token, an earlier
    // grant may still reach the target. Without this, the keys would then count
    // as returned too early.
    ExtendUntracked(hold.may_hold_until);
    if (hold.call_id != 0 && now < hold.call_sent_at + kCallTimeout)
      ExtendUntracked(CallEnd(hold));
  }
}

void TargetHoldTracker::ExtendUntracked(Clock::TimePoint until) {
  m_untracked_until = std::max(m_untracked_until, until);
}

Clock::TimePoint TargetHoldTracker::CallEnd(const Hold& hold) {
  return hold.call_id == 0 ? Clock::TimePoint::min()
                           : hold.call_sent_at + kCallTimeout +
                                 MaxDurationByNodeClock(hold.call_hold);
}

void TargetHoldTracker::SetAssignments(
    const std::vector<SlotAssignment>& assignments) {
  for (const SlotAssignment& assignment : assignments) {
    SplitAt(assignment.range.first);
    SplitAt(assignment.range.last + 1);
  }
  std::vector<Hold> next;
  for (const SlotAssignment& assignment : assignments)
    MoveHoldsOf(assignment, next);
  DropUnassignedHolds();
  m_holds = std::move(next);
  MergeAdjacentHolds();
}

void TargetHoldTracker::BeginIncarnation() {
  for (const Hold& hold : std::exchange(m_holds, {})) {
    if (hold.state != State::kReturned)
      OnReplaced(hold);
  }
}

void TargetHoldTracker::OnReplaced(const Hold& hold) {
  ExtendUntracked(hold.may_hold_until);
}

void TargetHoldTracker::EndAll() {
  for (Hold& hold : m_holds) {
    hold.state = State::kReturned;
    hold.call_id = 0;
    hold.is_released = true;
    hold.returned_handover.clear();
  }
}

bool TargetHoldTracker::HasEarlierGrants() {
  return m_clock.Now() < m_untracked_until;
}

const TargetHoldTracker::Hold* TargetHoldTracker::FindHold(
    std::uint32_t slot) const {
  for (const Hold& hold : m_holds) {
    if (hold.range.Contains(slot))
      return &hold;
  }
  return nullptr;
}

Clock::Duration TargetHoldTracker::RemainingHold(std::uint32_t slot) const {
  const Hold* hold = FindHold(slot);
  if (hold == nullptr || hold->state != State::kHeld)
    return Clock::Duration::zero();
  return std::max(Clock::Duration::zero(), hold->serve_until - m_clock.Now());
}

bool TargetHoldTracker::MayServe(std::uint32_t slot) const {
  return RemainingHold(slot) > Clock::Duration::zero();
}

bool TargetHoldTracker::IsAwaitingGrant(std::uint32_t slot) const {
  const Hold* hold = FindHold(slot);
  return hold != nullptr && hold->state == State::kAwaitingGrant;
}

bool TargetHoldTracker::IsBeingReleased(std::uint32_t slot) const {
  const Hold* hold = FindHold(slot);
  return hold != nullptr &&
         (hold->state == State::kReleasing || hold->state == State::kReturned);
}

bool TargetHoldTracker::IsAssigned(std::uint32_t slot) const {
  return FindHold(slot) != nullptr && !IsBeingReleased(slot);
}

bool TargetHoldTracker::HasReturnedAllRanges() const {
  return std::all_of(m_holds.begin(), m_holds.end(), [](const Hold& hold) {
    return hold.state == State::kReturned;
  });
}

}  // namespace citrongrade
