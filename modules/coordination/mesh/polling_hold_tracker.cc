#include "modules/coordination/mesh/polling_hold_tracker.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace citrongrade {

using std::chrono::milliseconds;

PollingHoldTracker::PollingHoldTracker(const Clock& clock,
                                       Clock::Duration earlier_grants)
    : TargetHoldTracker(clock, earlier_grants) {}

void PollingHoldTracker::OnMustRelease(Hold& hold) {
  // The range is served until a reply omits it: until then the target holds it,
  // and no other target can.
  hold.is_to_release = true;
}

void PollingHoldTracker::SplitAtReportedRanges(const Report& report) {
  for (const HeldRange& held : report.held) {
    SplitAt(held.range.first);
    SplitAt(held.range.last + 1);
  }
  for (const ReleasedRange& released : report.released) {
    SplitAt(released.range.first);
    SplitAt(released.range.last + 1);
  }
}

void PollingHoldTracker::UpdateGrantedHold(Hold& hold, bool is_held) {
  if (is_held) {
    hold.is_confirmed = true;
    hold.ignored_replies = 0;
    return;
  }
  hold.is_confirmed = false;
  if (hold.state == State::kAwaitingGrant) {
    // No reply has listed the range since the last report, so the target does
    // not hold it.
    hold.may_hold_until = {};
    return;
  }
  // The reply was lost or late, or the target refused the range.
  ++hold.ignored_replies;
  hold.state = hold.ignored_replies >= kMaxIgnoredReplies
                   ? State::kReturned
                   : State::kAwaitingGrant;
}

void PollingHoldTracker::UpdateReleasingHold(Hold& hold,
                                             bool is_held,
                                             const ReleasedRange* released,
                                             Clock::TimePoint now) {
  if (is_held)
    return;
  if (released != nullptr) {
    hold.state = State::kReturned;
    // A target that returns no handover data has not used the keys, so the
    // previous handover is still valid.
    hold.returned_handover =
        released->handover.empty() ? hold.handover : released->handover;
  } else if (now >= hold.may_hold_until) {
    hold.state = State::kReturned;
    if (!hold.is_confirmed)
      hold.returned_handover = hold.handover;
  }
}

void PollingHoldTracker::OnReport(const Report& report) {
  SplitAtReportedRanges(report);
  const Clock::TimePoint now = Now();
  for (Hold& hold : holds()) {
    const bool is_held = std::any_of(
        report.held.begin(), report.held.end(), [&hold](const HeldRange& held) {
          return held.range.Contains(hold.range) && held.fence == hold.fence;
        });
    const auto released =
        std::find_if(report.released.begin(), report.released.end(),
                     [&hold](const ReleasedRange& one) {
                       return one.range.Contains(hold.range);
                     });
    if (hold.state == State::kReleasing)
      UpdateReleasingHold(
          hold, is_held,
          released == report.released.end() ? nullptr : &*released, now);
    else if (hold.state != State::kReturned)
      UpdateGrantedHold(hold, is_held);
  }
  m_holds_unassigned_range = std::any_of(
      report.held.begin(), report.held.end(), [this](const HeldRange& held) {
        return std::none_of(holds().begin(), holds().end(),
                            [&held](const Hold& hold) {
                              return hold.fence == held.fence &&
                                     hold.range.Overlaps(held.range) &&
                                     hold.state != State::kReturned;
                            });
      });
  MergeAdjacentHolds();
}

bool PollingHoldTracker::HasPendingChanges() const {
  return m_holds_unassigned_range ||
         std::any_of(holds().begin(), holds().end(), [](const Hold& hold) {
           return hold.state == State::kAwaitingGrant ||
                  hold.state == State::kReleasing ||
                  (hold.state == State::kHeld && hold.is_to_release);
         });
}

std::optional<PollingHoldTracker::GrantReply>
PollingHoldTracker::MakeGrantReply(Clock::TimePoint reported,
                                   Clock::TimePoint lease_until) {
  // The difference to a time that stands for "no lease" may overflow.
  if (lease_until <= Now())
    return std::nullopt;
  const auto left =
      std::chrono::duration<double, std::milli>(lease_until - reported);
  GrantReply reply;
  reply.hold = milliseconds(
      static_cast<std::int64_t>(left.count() * kMinTargetClockRate));
  if (lease_until - Now() < kMinHold)
    return std::nullopt;
  std::vector<Hold*> listed;
  for (Hold& hold : holds()) {
    if (hold.state != State::kAwaitingGrant && hold.state != State::kHeld)
      continue;
    if (hold.is_to_release)
      hold.state = State::kReleasing;
    else
      listed.push_back(&hold);
  }
  // Ranges that the target already holds come first, because it would release
  // them if they were omitted.
  std::stable_partition(listed.begin(), listed.end(),
                        [](const Hold* hold) { return hold->is_confirmed; });
  std::size_t bytes = 0;
  std::size_t omitted = 0;
  for (Hold* hold : listed) {
    const std::string handover =
        hold->is_confirmed ? std::string() : hold->handover;
    bytes += kGrantedRangeBytes + handover.size();
    if (bytes > kMaxGrantReplyBytes) {
      ++omitted;
      continue;
    }
    reply.ranges.push_back({hold->range, hold->fence, handover});
    hold->state = State::kHeld;
    hold->serve_until =
        std::max(hold->serve_until, reported + reply.hold - kServeMargin);
    hold->may_hold_until = std::max(
        hold->may_hold_until, reported + MaxDurationByNodeClock(reply.hold));
  }
  if (omitted > 0) {
    spdlog::warn("event=grants-omitted ranges={} reason=\"answer too long\"",
                 omitted);
  }
  return reply;
}

std::vector<TargetHoldTracker::ReturnedRange>
PollingHoldTracker::ReturnedRanges() {
  const Clock::TimePoint now = Now();
  std::vector<ReturnedRange> returned;
  for (Hold& hold : holds()) {
    // A target that stops reporting holds nothing once its last reply has
    // expired.
    const bool has_run_out = now >= hold.may_hold_until;
    const bool is_release_open =
        hold.state == State::kReleasing ||
        (hold.state == State::kAwaitingGrant && hold.is_to_release);
    if (is_release_open && has_run_out)
      hold.state = State::kReturned;
    if (hold.state == State::kReturned)
      returned.push_back({hold.range, hold.fence, hold.returned_handover});
  }
  return returned;
}

Clock::TimePoint PollingHoldTracker::HeldUntil() const {
  Clock::TimePoint end = untracked_until();
  for (const Hold& hold : holds()) {
    if (hold.state != State::kReturned)
      end = std::max(end, hold.may_hold_until);
  }
  return end;
}

}  // namespace citrongrade
