#include "modules/coordination/load/target_admission.h"

#include <algorithm>
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
      m_mean_service_time(parameters.initial_service_time) {}

Clock::Duration TargetAdmission::ExpectedServiceTime(
    const std::string& route) const {
  const auto found = m_service_times.find(route);
  return found == m_service_times.end() ? m_mean_service_time : found->second;
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

Clock::Duration TargetAdmission::EstimateWaitForSlot(std::size_t ahead) const {
  const std::size_t concurrency =
      std::max<std::size_t>(1, m_parameters.concurrency);
  if (m_running.size() + ahead < concurrency)
    return Clock::Duration(0);
  const double rounds =
      static_cast<double>(ahead + 1 + m_running.size() - concurrency) /
      static_cast<double>(concurrency);
  return std::chrono::duration_cast<Clock::Duration>(m_mean_service_time *
                                                     rounds);
}

bool TargetAdmission::IsWorthWaiting(const Request& request,
                                     std::size_t ahead) const {
  const Clock::TimePoint now = m_clock.Now();
  const Clock::Duration limit_wait = m_rate_limiter.TimeUntilAdmission(ahead);
  const bool is_limited = limit_wait > Clock::Duration(0);
  if (is_limited && (request.can_go_elsewhere ||
                     now + limit_wait + ExpectedServiceTime(request.route) >=
                         request.soft_deadline))
    return false;
  return now + std::max(limit_wait, EstimateWaitForSlot(ahead)) <
         LatestStart(request, kRequiredShareWhenQueued);
}

bool TargetAdmission::HasCapacity() const {
  return m_running.size() < m_parameters.concurrency &&
         m_rate_limiter.TimeUntilAdmission(0) == Clock::Duration(0);
}

void TargetAdmission::Admit(Request request) {
  const RequestTicket ticket = request.ticket;
  m_running.emplace(ticket, std::move(request));
  m_rate_limiter.OnAdmitted();
}

TargetAdmission::Verdict TargetAdmission::Offer(const Request& request) {
  const Clock::TimePoint now = m_clock.Now();
  if (HasCapacity() && m_waiting.empty()) {
    if (now >= LatestStart(request, kRequiredShareWithFreeSlot))
      return Verdict::kRefused;
    Admit(request);
    return Verdict::kAdmitted;
  }
  const std::uint64_t sequence = m_next_sequence++;
  const Rank rank = RankOf(request, sequence);
  const auto ahead = static_cast<std::size_t>(
      std::distance(m_waiting.begin(), m_waiting.lower_bound(rank)));
  if (m_waiting.size() >= m_parameters.max_waiting ||
      !IsWorthWaiting(request, ahead))
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
  m_mean_service_time = UpdateAverage(m_mean_service_time, *service_time);
  const auto known = m_service_times.find(route);
  if (known != m_service_times.end())
    known->second = UpdateAverage(known->second, *service_time);
  else if (m_service_times.size() < kMaxTrackedRoutes)
    m_service_times.emplace(route,
                            UpdateAverage(m_mean_service_time, *service_time));
  m_longest_service_time = Clock::Duration(0);
  for (const auto& [name, mean] : m_service_times)
    m_longest_service_time = std::max(m_longest_service_time, mean);
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
  const auto running = static_cast<double>(std::count_if(
      m_running.begin(), m_running.end(),
      [this](const auto& entry) { return !IsLong(entry.second.route); }));
  const auto concurrency = static_cast<double>(m_parameters.concurrency);
  return running + 1 <= concurrency * (1 - kShareReservedForLong);
}

std::map<TargetAdmission::Rank, TargetAdmission::Request>::iterator
TargetAdmission::FindNext() {
  const auto first = m_waiting.begin();
  if (first->first.is_long || HasCapacityForShort())
    return first;
  Rank first_long = first->first;
  first_long.is_long = true;
  first_long.sequence = 0;
  const auto next_long = m_waiting.lower_bound(first_long);
  const bool has_same_priority =
      next_long != m_waiting.end() && next_long->first.is_long &&
      next_long->first.priority == first->first.priority;
  return has_same_priority ? next_long : first;
}

TargetAdmission::Changes TargetAdmission::Poll() {
  Changes changes;
  if (m_waiting.empty())
    return changes;
  UpdateRanks();
  const Clock::TimePoint now = m_clock.Now();
  while (!m_waiting.empty() && HasCapacity()) {
    auto next = m_waiting.extract(FindNext());
    Request& request = next.mapped();
    if (now >= LatestStart(request, kRequiredShareWithFreeSlot)) {
      changes.refused.push_back(request.ticket);
      continue;
    }
    changes.admitted.push_back(request.ticket);
    Admit(std::move(request));
  }
  std::size_t ahead = 0;
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    if (IsWorthWaiting(it->second, ahead)) {
      ++ahead;
      ++it;
      continue;
    }
    changes.refused.push_back(it->second.ticket);
    it = m_waiting.erase(it);
  }
  return changes;
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

Clock::Duration TargetAdmission::DrainTime() const {
  const std::size_t ahead = m_waiting.size();
  return std::max(m_rate_limiter.TimeUntilAdmission(ahead),
                  EstimateWaitForSlot(ahead));
}

}  // namespace citrongrade
