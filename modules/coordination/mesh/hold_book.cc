#include "modules/coordination/mesh/hold_book.h"

#include <algorithm>
#include <utility>

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// What a clock that runs slow adds to the longest hold.
constexpr milliseconds kClockSlack{40};
// Grants that an earlier process of this node left without an answer may hold
// for so long after its end, by a lease of ordinary length; SetLongestLease()
// tells of longer ones.
constexpr milliseconds kEarlierProcess{2000};

}  // namespace

HoldBook::HoldBook(const Clock& clock) : TargetHolds(clock, kEarlierProcess) {}

void HoldBook::BeginRelease(Hold& hold) {
  if (hold.state == State::kReleasing || hold.state == State::kReturned)
    return;
  // Also what this process has never granted: an earlier one may have.
  hold.state = State::kReleasing;
  hold.next_call = Now();
}

std::vector<HoldBook::Grant> HoldBook::DueGrants(Clock::TimePoint lease_until) {
  std::vector<Grant> due;
  const Clock::TimePoint now = Now();
  const auto left = std::chrono::duration<double, std::milli>(
      lease_until - now - kCallTimeout);
  // From the arrival of the call on, by a clock that may run slow.
  const milliseconds hold_time(
      static_cast<std::int64_t>(left.count() * kTargetClock));
  if (hold_time < kShortestHold)
    return due;
  for (Hold& hold : holds()) {
    if (hold.call != 0 || now < hold.next_call ||
        (hold.state != State::kWanted && hold.state != State::kHeld))
      continue;
    hold.call = m_next_id++;
    hold.call_sent = now;
    hold.call_hold = hold_time;
    due.push_back(
        {hold.call, hold.range, hold.fence, hold.handover, hold_time});
  }
  return due;
}

template <typename Change>
void HoldBook::ForCall(std::uint64_t id, Change change) {
  for (Hold& hold : holds()) {
    if (hold.call != id)
      continue;
    hold.call = 0;
    change(hold);
  }
}

void HoldBook::OnGranted(std::uint64_t id) {
  ForCall(id, [](Hold& hold) {
    hold.serve_until = std::max(hold.serve_until,
                                hold.call_sent + hold.call_hold - kServeMargin);
    if (hold.state == State::kWanted)
      hold.state = State::kHeld;
    if (hold.state == State::kHeld)
      hold.next_call = hold.call_sent + kRenewal;
  });
  JoinNeighbours();
}

void HoldBook::OnGrantUnanswered(std::uint64_t id) {
  const Clock::TimePoint now = Now();
  ForCall(id, [now](Hold& hold) {
    hold.unanswered_until =
        std::max(hold.unanswered_until,
                 hold.call_sent + kCallTimeout + Longest(hold.call_hold));
    hold.next_call = now + kRepeat;
  });
}

void HoldBook::OnGrantNotSent(std::uint64_t id) {
  const Clock::TimePoint now = Now();
  ForCall(id, [now](Hold& hold) { hold.next_call = now + kRepeat; });
}

void HoldBook::OnGrantRefused(std::uint64_t id) {
  ForCall(id, [](Hold& hold) {
    hold.state = State::kReturned;
    hold.returned_handover.clear();
    hold.is_released = true;
  });
}

std::vector<HoldBook::Release> HoldBook::DueReleases() {
  std::vector<Release> due;
  const Clock::TimePoint now = Now();
  for (Hold& hold : holds()) {
    if (hold.state != State::kReleasing || hold.call != 0 || hold.is_released ||
        now < hold.next_call)
      continue;
    hold.call = m_next_id++;
    hold.call_sent = now;
    due.push_back(
        {hold.call, hold.range, hold.fence, hold.was_release_unanswered});
  }
  return due;
}

void HoldBook::OnReleased(std::uint64_t id, const std::string& handover) {
  ForCall(id, [&handover](Hold& hold) {
    hold.is_released = true;
    // A target that held nothing hands nothing over, and nobody has touched the
    // keys since the holder before.
    hold.returned_handover = handover.empty() ? hold.handover : handover;
  });
}

void HoldBook::OnReleaseUnanswered(std::uint64_t id) {
  const Clock::TimePoint now = Now();
  ForCall(id, [now](Hold& hold) {
    hold.next_call = now + kRepeat;
    hold.was_release_unanswered = true;
  });
}

std::vector<HoldBook::ReturnedRange> HoldBook::Returned() {
  const Clock::TimePoint now = Now();
  std::vector<ReturnedRange> returned;
  for (Hold& hold : holds()) {
    if (hold.state == State::kReleasing) {
      // A hold that was never released runs out by itself.
      const Clock::TimePoint end =
          hold.is_released ? hold.unanswered_until
                           : std::max(hold.unanswered_until,
                                      hold.serve_until + kServeMargin +
                                          kCallTimeout + kClockSlack);
      if (now >= end && (hold.is_released || hold.call == 0))
        hold.state = State::kReturned;
    }
    if (hold.state == State::kReturned) {
      returned.push_back({hold.range, hold.fence, hold.returned_handover});
    }
  }
  return returned;
}

Clock::TimePoint HoldBook::HeldUntil() const {
  Clock::TimePoint end = Clock::TimePoint::min();
  for (const Hold& hold : holds()) {
    if (hold.state == State::kReturned)
      continue;
    end = std::max(
        {end, hold.serve_until + kServeMargin + kCallTimeout + kClockSlack,
         hold.unanswered_until});
    if (hold.call != 0)
      end = std::max(end,
                     hold.call_sent + kCallTimeout + Longest(hold.call_hold));
  }
  return end;
}

}  // namespace citrongrade
