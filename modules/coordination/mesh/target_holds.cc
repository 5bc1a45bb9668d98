#include "modules/coordination/mesh/target_holds.h"

#include <algorithm>
#include <utility>

namespace citrongrade {

using std::chrono::milliseconds;

milliseconds TargetHolds::Longest(milliseconds hold) {
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(hold.count()) / kTargetClock));
}

TargetHolds::TargetHolds(const Clock& clock, Clock::Duration earlier)
    : m_clock(clock),
      m_started(clock.Now()),
      m_earlier_until(m_started + earlier) {}

void TargetHolds::SetLongestLease(Clock::Duration longest) {
  const Clock::TimePoint until = m_started + longest;
  m_earlier_until = std::max(m_earlier_until, until);
  for (Hold& hold : m_holds)
    hold.unanswered_until = std::max(hold.unanswered_until, until);
}

void TargetHolds::SplitAt(std::uint32_t slot) {
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

bool TargetHolds::CanJoin(const Hold& left, const Hold& right) {
  return left.range.last + 1 == right.range.first &&
         left.fence == right.fence && left.handover == right.handover &&
         left.state == right.state && left.state == State::kHeld &&
         left.call == 0 && right.call == 0 &&
         left.is_to_release == right.is_to_release &&
         left.is_confirmed == right.is_confirmed &&
         left.unheeded == right.unheeded;
}

void TargetHolds::JoinNeighbours() {
  std::vector<Hold> joined;
  for (Hold& hold : m_holds) {
    if (joined.empty() || !CanJoin(joined.back(), hold)) {
      joined.push_back(std::move(hold));
      continue;
    }
    Hold& last = joined.back();
    last.range.last = hold.range.last;
    last.serve_until = std::min(last.serve_until, hold.serve_until);
    last.unanswered_until =
        std::max(last.unanswered_until, hold.unanswered_until);
    last.next_call = std::min(last.next_call, hold.next_call);
  }
  m_holds = std::move(joined);
}

void TargetHolds::TakeRun(const OwnedRun& run, std::vector<Hold>& holds) {
  const Clock::TimePoint now = m_clock.Now();
  std::uint32_t uncovered = run.range.first;
  const auto add_wanted = [&](std::uint32_t end) {
    if (uncovered >= end)
      return;
    Hold hold;
    hold.range = {uncovered, end - 1};
    hold.fence = run.fence;
    hold.handover = run.handover;
    hold.next_call = now;
    hold.unanswered_until = m_earlier_until;
    holds.push_back(std::move(hold));
  };
  const std::size_t first = holds.size();
  const auto is_of_run = [&run](const Hold& hold) {
    return run.range.Contains(hold.range) && hold.fence == run.fence;
  };
  for (const Hold& hold : m_holds) {
    if (!is_of_run(hold))
      continue;
    add_wanted(hold.range.first);
    uncovered = hold.range.last + 1;
    holds.push_back(hold);
  }
  std::erase_if(m_holds, is_of_run);
  add_wanted(run.range.last + 1);
  if (!run.is_moving())
    return;
  for (std::size_t i = first; i < holds.size(); ++i)
    BeginRelease(holds[i]);
}

void TargetHolds::ForgetRest() {
  const Clock::TimePoint now = m_clock.Now();
  for (const Hold& hold : m_holds) {
    if (hold.state == State::kReturned)
      continue;
    // Should the keys come back by the same token, what was granted before may
    // still arrive: without this they would be given back too soon then.
    m_earlier_until = std::max(m_earlier_until, hold.unanswered_until);
    if (hold.call != 0 && now < hold.call_sent + kCallTimeout) {
      m_earlier_until =
          std::max(m_earlier_until,
                   hold.call_sent + kCallTimeout + Longest(hold.call_hold));
    }
  }
}

void TargetHolds::SetOwned(const std::vector<OwnedRun>& owned) {
  for (const OwnedRun& run : owned) {
    SplitAt(run.range.first);
    SplitAt(run.range.last + 1);
  }
  std::vector<Hold> next;
  for (const OwnedRun& run : owned)
    TakeRun(run, next);
  ForgetRest();
  m_holds = std::move(next);
  JoinNeighbours();
}

void TargetHolds::Clear() {
  m_holds.clear();
}

const TargetHolds::Hold* TargetHolds::FindHold(std::uint32_t slot) const {
  for (const Hold& hold : m_holds) {
    if (hold.range.Contains(slot))
      return &hold;
  }
  return nullptr;
}

Clock::Duration TargetHolds::HoldLeft(std::uint32_t slot) const {
  const Hold* hold = FindHold(slot);
  if (hold == nullptr || hold->state != State::kHeld)
    return Clock::Duration::zero();
  return std::max(Clock::Duration::zero(), hold->serve_until - m_clock.Now());
}

bool TargetHolds::MayServe(std::uint32_t slot) const {
  return HoldLeft(slot) > Clock::Duration::zero();
}

bool TargetHolds::IsComing(std::uint32_t slot) const {
  const Hold* hold = FindHold(slot);
  return hold != nullptr && hold->state == State::kWanted;
}

bool TargetHolds::IsLeaving(std::uint32_t slot) const {
  const Hold* hold = FindHold(slot);
  return hold != nullptr &&
         (hold->state == State::kReleasing || hold->state == State::kReturned);
}

bool TargetHolds::HasNothingToGiveBack() const {
  return std::all_of(m_holds.begin(), m_holds.end(), [](const Hold& hold) {
    return hold.state == State::kReturned;
  });
}

}  // namespace citrongrade
