#include "modules/coordination/mesh/push_hold_tracker.h"

#include <algorithm>
#include <utility>

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// Extends the longest hold to allow for a target's clock that runs slow.
constexpr milliseconds kClockSlack{40};
// How long unanswered grants of an earlier process of this node may still hold
// after its end, with leases of ordinary length. SetMaxLease() extends it
// for longer ones.
constexpr milliseconds kEarlierProcessHold{2000};

}  // namespace

PushHoldTracker::PushHoldTracker(const Clock& clock)
    : TargetHoldTracker(clock, kEarlierProcessHold) {}

void PushHoldTracker::OnMustRelease(Hold& hold) {
  if (hold.state == State::kReleasing || hold.state == State::kReturned)
    return;
  // Includes ranges that this process has never granted: an earlier one may
  // have granted them.
  hold.state = State::kReleasing;
  hold.next_call = Now();
}

void PushHoldTracker::OnReplaced(const Hold& hold) {
  Hold& earlier = m_earlier_holds.emplace_back(hold);
  // A grant in progress may take effect after a release.
  earlier.may_hold_until = std::max(hold.may_hold_until, CallEnd(hold));
  earlier.call_id = 0;
  OnMustRelease(earlier);
}

void PushHoldTracker::EndAll() {
  TargetHoldTracker::EndAll();
  m_earlier_holds.clear();
}

bool PushHoldTracker::HasEarlierGrants() {
  std::erase_if(m_earlier_holds,
                [this](const Hold& hold) { return HasEnded(hold); });
  return !m_earlier_holds.empty() || TargetHoldTracker::HasEarlierGrants();
}

std::vector<PushHoldTracker::Grant> PushHoldTracker::DueGrants(
    Clock::TimePoint lease_until) {
  std::vector<Grant> due;
  const Clock::TimePoint now = Now();
  // The difference to a time that stands for "no lease" may overflow.
  if (lease_until <= now)
    return due;
  const auto lease_left = std::chrono::duration<double, std::milli>(
      lease_until - now - kCallTimeout);
  // The target counts from the arrival of the call, by a clock that may run
  // slow.
  const milliseconds hold_time(
      static_cast<std::int64_t>(lease_left.count() * kMinTargetClockRate));
  if (hold_time < kMinHold)
    return due;
  for (Hold& hold : holds()) {
    if (hold.call_id != 0 || now < hold.next_call ||
        (hold.state != State::kAwaitingGrant && hold.state != State::kHeld))
      continue;
    hold.call_id = m_next_id++;
    hold.call_sent_at = now;
    hold.call_hold = hold_time;
    due.push_back(
        {hold.call_id, hold.range, hold.fence, hold.handover, hold_time});
  }
  return due;
}

template <typename Change>
void PushHoldTracker::CompleteCall(std::uint64_t id, Change change) {
  for (std::vector<Hold>* tracked : {&holds(), &m_earlier_holds}) {
    for (Hold& hold : *tracked) {
      if (hold.call_id != id)
        continue;
      hold.call_id = 0;
      change(hold);
    }
  }
}

void PushHoldTracker::OnGranted(std::uint64_t id) {
  CompleteCall(id, [](Hold& hold) {
    hold.serve_until = std::max(
        hold.serve_until, hold.call_sent_at + hold.call_hold - kServeMargin);
    if (hold.state == State::kAwaitingGrant)
      hold.state = State::kHeld;
    if (hold.state == State::kHeld)
      hold.next_call = hold.call_sent_at + kRenewalInterval;
  });
  MergeAdjacentHolds();
}

void PushHoldTracker::OnGrantUnanswered(std::uint64_t id) {
  const Clock::TimePoint now = Now();
  CompleteCall(id, [now](Hold& hold) {
    hold.may_hold_until = std::max(hold.may_hold_until,
                                   hold.call_sent_at + kCallTimeout +
                                       MaxDurationByNodeClock(hold.call_hold));
    hold.next_call = now + kRetryDelay;
  });
}

void PushHoldTracker::OnGrantNotSent(std::uint64_t id) {
  const Clock::TimePoint now = Now();
  CompleteCall(id, [now](Hold& hold) { hold.next_call = now + kRetryDelay; });
}

void PushHoldTracker::OnGrantRefused(std::uint64_t id) {
  CompleteCall(id, [](Hold& hold) {
    hold.state = State::kReturned;
    hold.returned_handover.clear();
    hold.is_released = true;
  });
}

std::vector<PushHoldTracker::Release> PushHoldTracker::DueReleases() {
  std::vector<Release> due;
  AddDueReleases(holds(), due);
  AddDueReleases(m_earlier_holds, due);
  return due;
}

void PushHoldTracker::AddDueReleases(std::vector<Hold>& holds,
                                     std::vector<Release>& due) {
  const Clock::TimePoint now = Now();
  for (Hold& hold : holds) {
    if (hold.state != State::kReleasing || hold.call_id != 0 ||
        hold.is_released || now < hold.next_call)
      continue;
    hold.call_id = m_next_id++;
    hold.call_sent_at = now;
    due.push_back(
        {hold.call_id, hold.range, hold.fence, hold.was_release_unanswered});
  }
}

void PushHoldTracker::OnReleased(std::uint64_t id,
                                 const std::string& handover) {
  CompleteCall(id, [&handover](Hold& hold) {
    hold.is_released = true;
    // A target that held nothing returns no handover; nobody has used the keys
    // since the previous holder, whose handover is still valid.
    hold.returned_handover = handover.empty() ? hold.handover : handover;
  });
}

void PushHoldTracker::OnReleaseUnanswered(std::uint64_t id) {
  const Clock::TimePoint now = Now();
  CompleteCall(id, [now](Hold& hold) {
    hold.next_call = now + kRetryDelay;
    hold.was_release_unanswered = true;
  });
}

bool PushHoldTracker::HasEnded(const Hold& hold) const {
  // A hold without a confirmed release ends when it expires.
  const Clock::TimePoint end =
      hold.is_released
          ? hold.may_hold_until
          : std::max(hold.may_hold_until, hold.serve_until + kServeMargin +
                                              kCallTimeout + kClockSlack);
  return Now() >= end && (hold.is_released || hold.call_id == 0);
}

std::vector<PushHoldTracker::ReturnedRange> PushHoldTracker::ReturnedRanges() {
  std::vector<ReturnedRange> returned;
  for (Hold& hold : holds()) {
    if (hold.state == State::kReleasing && HasEnded(hold))
      hold.state = State::kReturned;
    if (hold.state == State::kReturned) {
      returned.push_back({hold.range, hold.fence, hold.returned_handover});
    }
  }
  return returned;
}

Clock::TimePoint PushHoldTracker::HeldUntil() const {
  Clock::TimePoint end = untracked_until();
  for (const std::vector<Hold>* tracked : {&holds(), &m_earlier_holds}) {
    for (const Hold& hold : *tracked) {
      if (hold.state == State::kReturned)
        continue;
      end = std::max(
          {end, hold.serve_until + kServeMargin + kCallTimeout + kClockSlack,
           hold.may_hold_until, CallEnd(hold)});
    }
  }
  return end;
}

}  // namespace citrongrade
