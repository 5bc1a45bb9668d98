#include "modules/coordination/mesh/hold_book.h"

#include <algorithm>
#include <utility>

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// The target's clock may run this much slow: a hold lasts longer by it.
constexpr double kTargetClock = 0.98;
// The node stops giving work before the hold ends, by a local call's time.
constexpr milliseconds kServeMargin{15};
// What a clock that runs slow adds to the longest hold.
constexpr milliseconds kClockSlack{40};
// Grants that an earlier process of this node left without an answer may hold
// for so long after its end: as long as a lease lasts.
constexpr milliseconds kEarlierProcess{2000};
// A hold for less is not worth a call.
constexpr milliseconds kShortestHold{60};

milliseconds Longer(milliseconds hold) {
  return std::chrono::ceil<milliseconds>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(hold.count()) / kTargetClock));
}

}  // namespace

HoldBook::HoldBook(const Clock& clock)
    : m_clock(clock), m_earlier_until(clock.Now() + kEarlierProcess) {}

void HoldBook::SplitAt(std::uint32_t slot) {
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

bool HoldBook::CanJoin(const Hold& left, const Hold& right) {
  return left.range.last + 1 == right.range.first &&
         left.fence == right.fence && left.handover == right.handover &&
         left.state == right.state && left.state == State::kHeld &&
         left.call == 0 && right.call == 0;
}

void HoldBook::JoinNeighbours() {
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

void HoldBook::BeginRelease(Hold& hold, Clock::TimePoint now) {
  if (hold.state == State::kReleasing || hold.state == State::kReturned)
    return;
  // Also what this process has never granted: an earlier one may have.
  hold.state = State::kReleasing;
  hold.next_call = now;
}

void HoldBook::TakeRun(const OwnedRun& run, std::vector<Hold>& holds) {
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
    BeginRelease(holds[i], now);
}

void HoldBook::ForgetRest() {
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
                   hold.call_sent + kCallTimeout + Longer(hold.call_hold));
    }
  }
}

void HoldBook::SetOwned(const std::vector<OwnedRun>& owned) {
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

void HoldBook::Clear() {
  m_holds.clear();
}

std::vector<HoldBook::Grant> HoldBook::DueGrants(Clock::TimePoint lease_until) {
  std::vector<Grant> due;
  const Clock::TimePoint now = m_clock.Now();
  const auto left = std::chrono::duration<double, std::milli>(
      lease_until - now - kCallTimeout);
  // From the arrival of the call on, by a clock that may run slow.
  const milliseconds hold_time(
      static_cast<std::int64_t>(left.count() * kTargetClock));
  if (hold_time < kShortestHold)
    return due;
  for (Hold& hold : m_holds) {
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
  for (Hold& hold : m_holds) {
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
  const Clock::TimePoint now = m_clock.Now();
  ForCall(id, [now](Hold& hold) {
    hold.unanswered_until =
        std::max(hold.unanswered_until,
                 hold.call_sent + kCallTimeout + Longer(hold.call_hold));
    hold.next_call = now + kRepeat;
  });
}

void HoldBook::OnGrantNotSent(std::uint64_t id) {
  const Clock::TimePoint now = m_clock.Now();
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
  const Clock::TimePoint now = m_clock.Now();
  for (Hold& hold : m_holds) {
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
  const Clock::TimePoint now = m_clock.Now();
  ForCall(id, [now](Hold& hold) {
    hold.next_call = now + kRepeat;
    hold.was_release_unanswered = true;
  });
}

const HoldBook::Hold* HoldBook::FindHold(std::uint32_t slot) const {
  for (const Hold& hold : m_holds) {
    if (hold.range.Contains(slot))
      return &hold;
  }
  return nullptr;
}

bool HoldBook::MayServe(std::uint32_t slot) const {
  const Hold* hold = FindHold(slot);
  return hold != nullptr && hold->state == State::kHeld &&
         m_clock.Now() < hold->serve_until;
}

bool HoldBook::IsComing(std::uint32_t slot) const {
  const Hold* hold = FindHold(slot);
  return hold != nullptr && hold->state == State::kWanted;
}

bool HoldBook::IsLeaving(std::uint32_t slot) const {
  const Hold* hold = FindHold(slot);
  return hold != nullptr &&
         (hold->state == State::kReleasing || hold->state == State::kReturned);
}

std::vector<HoldBook::ReturnedRange> HoldBook::Returned() {
  const Clock::TimePoint now = m_clock.Now();
  std::vector<ReturnedRange> returned;
  for (Hold& hold : m_holds) {
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
  for (const Hold& hold : m_holds) {
    if (hold.state == State::kReturned)
      continue;
    end = std::max(
        {end, hold.serve_until + kServeMargin + kCallTimeout + kClockSlack,
         hold.unanswered_until});
    if (hold.call != 0)
      end =
          std::max(end, hold.call_sent + kCallTimeout + Longer(hold.call_hold));
  }
  return end;
}

bool HoldBook::HasNothingToGiveBack() const {
  return std::all_of(m_holds.begin(), m_holds.end(), [](const Hold& hold) {
    return hold.state == State::kReturned;
  });
}

}  // namespace citrongrade
