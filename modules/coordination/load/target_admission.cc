#include "modules/coordination/load/target_admission.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citrongrade {

namespace {

// Weight of the newest sample in a moving average; about ten samples dominate
// it.
constexpr double kSampleWeight = 0.1;
// Routes come from the operators' configuration; beyond this many they use the
// mean of all requests.
constexpr std::size_t kMaxTrackedRoutes = 256;
// A request is short if its route's service time is below this share of the
// longest route's.
constexpr double kShortServiceTimeShare = 0.5;
// Share of the expected service time that must be left before the deadline.
//
// A request that can start at once needs half: it delays no other request, and
// a target that was slow for a while can only show that it has recovered if it
// is tried.
//
// A queued request needs all of it: when half was enough, a saturated target
// spent its capacity on requests that were then cut off by their callers'
// deadlines. The change raised the load test's score by 0.044 +- 0.020 on the
// heaviest of five days and by 0.010 +- 0.006 over all five, three seeds each.
constexpr double kRequiredShareWithFreeSlot = 0.5;
constexpr double kRequiredShareWhenQueued = 1.0;

Clock::Duration UpdateAverage(Clock::Duration mean, Clock::Duration sample) {
  return mean + std::chrono::duration_cast<Clock::Duration>((sample - mean) *
                                                            kSampleWeight);
}

}  // namespace

TargetAdmission::TargetAdmission(const Clock& clock,
                                 const Parameters& parameters)
    : m_clock(clock),
      m_parameters(parameters),
      m_rate_limiter(clock),
      m_mean_service_time(parameters.initial_service_time),
      m_mean_long_service_time(parameters.initial_service_time) {
  if (parameters.reserves_slots_for_short)
    m_short_call_reserve.emplace(clock);
}

Clock::Duration TargetAdmission::ExpectedServiceTime(
    const std::string& route) const {
  const auto found = m_service_times.find(route);
  if (found != m_service_times.end())
    return found->second;
  // By the mean of long requests, the first calls would be refused as too long
  // for their deadlines, so that their service time never became known.
  return m_short_call_reserve
             ? std::min<Clock::Duration>(m_mean_service_time,
                                         m_parameters.initial_service_time)
             : m_mean_service_time;
}

Clock::TimePoint TargetAdmission::LatestStart(const Request& request,
                                              double share) const {
  const auto service_time = std::chrono::duration_cast<Clock::Duration>(
      ExpectedServiceTime(request.route) * share);
  return std::min(request.deadline, m_latest_deadline) -
         m_parameters.response_transit_time - service_time;
}

TargetAdmission::Rank TargetAdmission::RankOf(const Request& request,
                                              std::uint64_t sequence) const {
  const bool is_long = IsLong(request.route);
  const bool is_late =
      is_long && m_clock.Now() + ExpectedServiceTime(request.route) >
                     request.soft_deadline;
  return {is_late, request.priority, is_long, sequence};
}

bool TargetAdmission::IsLong(const std::string& route) const {
  return ExpectedServiceTime(route) >=
         m_longest_service_time * kShortServiceTimeShare;
}

std::size_t TargetAdmission::CountRunning(bool is_long) const {
  return static_cast<std::size_t>(std::count_if(
      m_running.begin(), m_running.end(), [this, is_long](const auto& entry) {
        return IsLong(entry.second.route) == is_long;
      }));
}

std::size_t TargetAdmission::reserved_slots() const {
  return m_short_call_reserve
             ? m_short_call_reserve->ReservedOf(m_parameters.concurrency)
             : 0;
}

std::size_t TargetAdmission::SlotsForLong() const {
  return m_parameters.concurrency - reserved_slots();
}

std::size_t TargetAdmission::SlotsForShort() const {
  return static_cast<std::size_t>(
      static_cast<double>(m_parameters.concurrency) *
      (1 - kShareReservedForLong));
}

TargetAdmission::SlotUse TargetAdmission::SlotUseOf(bool is_long) const {
  if (m_short_call_reserve && is_long) {
    return {std::max<std::size_t>(1, SlotsForLong()), CountRunning(true),
            m_mean_long_service_time};
  }
  // A short request takes any slot, and waits for the end of whatever runs.
  return {std::max<std::size_t>(1, m_parameters.concurrency), m_running.size(),
          m_mean_service_time};
}

std::size_t TargetAdmission::CountAhead(const Ahead& ahead,
                                        bool is_long) const {
  if (!m_short_call_reserve)
    return ahead.total();
  return is_long ? ahead.long_requests : ahead.short_requests;
}

Clock::Duration TargetAdmission::EstimateWaitForSlot(const SlotUse& use,
                                                     std::size_t ahead) {
  if (use.running + ahead < use.slots)
    return Clock::Duration(0);
  const double rounds =
      static_cast<double>(ahead + 1 + use.running - use.slots) /
      static_cast<double>(use.slots);
  return std::chrono::duration_cast<Clock::Duration>(use.service_time * rounds);
}

bool TargetAdmission::IsWorthWaiting(const Request& request,
                                     const Ahead& ahead,
                                     Clock::Duration slot_wait) const {
  const Clock::TimePoint now = m_clock.Now();
  const Clock::Duration limit_wait =
      m_rate_limiter.TimeUntilAdmission(ahead.total());
  const bool is_limited = limit_wait > Clock::Duration(0);
  if (is_limited && (request.can_go_elsewhere ||
                     now + limit_wait + ExpectedServiceTime(request.route) >=
                         request.soft_deadline))
    return false;
  return now + std::max(limit_wait, slot_wait) <
         LatestStart(request, kRequiredShareWhenQueued);
}

bool TargetAdmission::HasCapacity() const {
  return m_running.size() < m_parameters.concurrency &&
         m_rate_limiter.TimeUntilAdmission(0) == Clock::Duration(0);
}

bool TargetAdmission::CanStartAtOnce(bool is_long) const {
  if (!HasCapacity())
    return false;
  const bool has_capacity_for_long = HasCapacityForLong();
  if (m_waiting.empty())
    return !is_long || has_capacity_for_long;
  // Long requests that wait for other slots than the reserved ones must not
  // delay a short one until the next Poll().
  return !is_long && !has_capacity_for_long && m_waiting.begin()->first.is_long;
}

void TargetAdmission::Admit(Request request) {
  const RequestTicket ticket = request.ticket;
  m_running.emplace(ticket, std::move(request));
  m_rate_limiter.OnAdmitted();
}

TargetAdmission::Verdict TargetAdmission::Offer(const Request& request) {
  const Clock::TimePoint now = m_clock.Now();
  const bool is_long = IsLong(request.route);
  if (m_short_call_reserve && !is_long)
    m_short_call_reserve->OnArrival();
  if (CanStartAtOnce(is_long)) {
    if (now >= LatestStart(request, kRequiredShareWithFreeSlot))
      return Verdict::kRefused;
    Admit(request);
    return Verdict::kAdmitted;
  }
  const std::uint64_t sequence = m_next_sequence++;
  const Rank rank = RankOf(request, sequence);
  const auto next = m_waiting.lower_bound(rank);
  Ahead ahead;
  for (auto it = m_waiting.begin(); it != next; ++it)
    ahead.Add(it->first);
  const Clock::Duration slot_wait =
      EstimateWaitForSlot(SlotUseOf(is_long), CountAhead(ahead, is_long));
  if (m_waiting.size() >= m_parameters.max_waiting ||
      !IsWorthWaiting(request, ahead, slot_wait))
    return Verdict::kRefused;
  m_waiting.emplace(rank, request);
  return Verdict::kQueued;
}

void TargetAdmission::OnFinished(RequestTicket ticket,
                                 std::optional<Clock::Duration> service_time) {
  const auto found = m_running.find(ticket);
  if (found == m_running.end())
    return;
  const std::string route = found->second.route;
  m_running.erase(found);
  if (!service_time)
    return;
  UpdateServiceTimes(route, *service_time);
}

void TargetAdmission::UpdateServiceTimes(const std::string& route,
                                         Clock::Duration sample) {
  m_mean_service_time = UpdateAverage(m_mean_service_time, sample);
  const auto known = m_service_times.find(route);
  if (known != m_service_times.end()) {
    known->second = UpdateAverage(known->second, sample);
  } else if (m_service_times.size() < kMaxTrackedRoutes) {
    m_service_times.emplace(route,
                            m_short_call_reserve
                                ? sample
                                : UpdateAverage(m_mean_service_time, sample));
  }
  m_longest_service_time = Clock::Duration(0);
  for (const auto& [name, mean] : m_service_times)
    m_longest_service_time = std::max(m_longest_service_time, mean);
  if (IsLong(route))
    m_mean_long_service_time = UpdateAverage(m_mean_long_service_time, sample);
  else if (m_short_call_reserve)
    m_short_call_reserve->OnFinished(sample);
}

void TargetAdmission::UpdateRanks() {
  std::vector<std::pair<Rank, Request>> moved;
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const Rank rank = RankOf(it->second, it->first.sequence);
    if (rank == it->first) {
      ++it;
      continue;
    }
    moved.emplace_back(rank, std::move(it->second));
    it = m_waiting.erase(it);
  }
  for (auto& [rank, request] : moved)
    m_waiting.emplace(rank, std::move(request));
}

bool TargetAdmission::HasCapacityForShort() const {
  return CountRunning(false) < SlotsForShort();
}

bool TargetAdmission::HasCapacityForLong() const {
  return reserved_slots() == 0 || CountRunning(true) < SlotsForLong();
}

TargetAdmission::Queue::iterator TargetAdmission::FindNext() {
  const auto first = m_waiting.begin();
  if (!HasCapacityForLong()) {
    return std::find_if(first, m_waiting.end(),
                        [](const auto& entry) { return !entry.first.is_long; });
  }
  if (first->first.is_long || HasCapacityForShort())
    return first;
  return FindLongInsteadOf(first);
}

TargetAdmission::Queue::iterator TargetAdmission::FindLongInsteadOf(
    Queue::iterator first) {
  const std::uint32_t priority = first->first.priority;
  if (m_short_call_reserve) {
    // Late long requests are behind all short ones in the queue.
    const auto next_long =
        std::find_if(first, m_waiting.end(), [priority](const auto& entry) {
          return entry.first.is_long && entry.first.priority <= priority;
        });
    return next_long != m_waiting.end() ? next_long : first;
  }
  Rank first_long = first->first;
  first_long.is_long = true;
  first_long.sequence = 0;
  const auto next_long = m_waiting.lower_bound(first_long);
  const bool has_same_priority = next_long != m_waiting.end() &&
                                 next_long->first.is_long &&
                                 next_long->first.priority == priority;
  return has_same_priority ? next_long : first;
}

TargetAdmission::Changes TargetAdmission::Poll() {
  Changes changes;
  if (m_waiting.empty())
    return changes;
  UpdateRanks();
  const Clock::TimePoint now = m_clock.Now();
  while (!m_waiting.empty() && HasCapacity()) {
    const auto found = FindNext();
    if (found == m_waiting.end())
      break;
    auto next = m_waiting.extract(found);
    Request& request = next.mapped();
    if (now >= LatestStart(request, kRequiredShareWithFreeSlot)) {
      changes.refused.push_back(request.ticket);
      continue;
    }
    changes.admitted.push_back(request.ticket);
    Admit(std::move(request));
  }
  RefuseUnmeetable(changes);
  return changes;
}

void TargetAdmission::RefuseUnmeetable(Changes& changes) {
  const SlotUse use_of_short = SlotUseOf(false);
  const SlotUse use_of_long = SlotUseOf(true);
  Ahead ahead;
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const bool is_long = it->first.is_long;
    const Clock::Duration slot_wait = EstimateWaitForSlot(
        is_long ? use_of_long : use_of_short, CountAhead(ahead, is_long));
    if (IsWorthWaiting(it->second, ahead, slot_wait)) {
      ahead.Add(it->first);
      ++it;
      continue;
    }
    changes.refused.push_back(it->second.ticket);
    it = m_waiting.erase(it);
  }
}

bool TargetAdmission::Withdraw(RequestTicket ticket) {
  for (auto it = m_waiting.begin(); it != m_waiting.end(); ++it) {
    if (it->second.ticket != ticket)
      continue;
    m_waiting.erase(it);
    return true;
  }
  return false;
}

Clock::Duration TargetAdmission::DrainTime(const std::string& route) const {
  Ahead ahead;
  for (const auto& [rank, request] : m_waiting)
    ahead.Add(rank);
  const bool is_long = IsLong(route);
  return std::max(
      m_rate_limiter.TimeUntilAdmission(ahead.total()),
      EstimateWaitForSlot(SlotUseOf(is_long), CountAhead(ahead, is_long)));
}

}  // namespace citrongrade
