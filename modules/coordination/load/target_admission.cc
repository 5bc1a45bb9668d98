#include "modules/coordination/load/target_admission.h"

#include <algorithm>
#include <utility>

namespace citrongrade {

namespace {

// Weight of the newest run in a mean: some ten runs decide it.
constexpr double kSampleWeight = 0.1;
// Kinds come from the operators' routes; beyond this many they share the mean.
constexpr std::size_t kMaxTrackedRoutes = 256;
// Work of a kind that is less than this part of the longest kind's is short.
constexpr double kShortServiceTimeShare = 0.5;
// Part of a kind's usual work for which there must be time left. One that finds
// a free slot is tried with half of it: it takes nobody's place, and only by
// trying does a target that was slow for a while show that it no longer is. One
// that waits needs time for all of it: by half, a saturated target gave its
// slots to work that its callers' deadlines ended. Worth 0.044 +- 0.020 on the
// heaviest of five days, 0.010 +- 0.006 on all, three seeds each.
constexpr double kRequiredShareWithFreeSlot = 0.5;
constexpr double kRequiredShareWhenQueued = 1.0;

Clock::Duration UpdateAverage(Clock::Duration mean, Clock::Duration newest) {
  return mean + std::chrono::duration_cast<Clock::Duration>((newest - mean) *
                                                            kSampleWeight);
}

}  // namespace

TargetAdmission::TargetAdmission(const Clock& clock,
                                 const Parameters& parameters)
    : m_clock(clock),
      m_parameters(parameters),
      m_mean_service_time(parameters.initial_service_time) {}

Clock::Duration TargetAdmission::ExpectedServiceTime(
    const std::string& kind) const {
  const auto found = m_service_times.find(kind);
  return found == m_service_times.end() ? m_mean_service_time : found->second;
}

Clock::TimePoint TargetAdmission::LatestStart(const Request& request,
                                              double part) const {
  const auto work = std::chrono::duration_cast<Clock::Duration>(
      ExpectedServiceTime(request.route) * part);
  return request.deadline - m_parameters.response_transit_time - work;
}

TargetAdmission::Rank TargetAdmission::RankOf(const Request& request,
                                              std::uint64_t sequence) const {
  const bool is_long = IsLong(request.route);
  const bool is_late =
      is_long && m_clock.Now() + ExpectedServiceTime(request.route) >
                     request.soft_deadline;
  return {is_late, request.priority, is_long, sequence};
}

bool TargetAdmission::IsLong(const std::string& kind) const {
  return ExpectedServiceTime(kind) >=
         m_longest_service_time * kShortServiceTimeShare;
}

Clock::Duration TargetAdmission::EstimateWait(std::size_t ahead) const {
  const std::size_t slots = std::max<std::size_t>(1, m_parameters.concurrency);
  if (m_running.size() + ahead < slots)
    return Clock::Duration(0);
  const double rounds =
      static_cast<double>(ahead + 1 + m_running.size() - slots) /
      static_cast<double>(slots);
  return std::chrono::duration_cast<Clock::Duration>(m_mean_service_time *
                                                     rounds);
}

TargetAdmission::Verdict TargetAdmission::Offer(const Request& request) {
  const Clock::TimePoint now = m_clock.Now();
  if (m_running.size() < m_parameters.concurrency && m_waiting.empty()) {
    if (now >= LatestStart(request, kRequiredShareWithFreeSlot))
      return Verdict::kRefused;
    m_running.emplace(request.ticket, request);
    return Verdict::kAdmitted;
  }
  const std::uint64_t sequence = m_next_sequence++;
  const Rank rank = RankOf(request, sequence);
  const auto ahead = static_cast<std::size_t>(
      std::distance(m_waiting.begin(), m_waiting.lower_bound(rank)));
  if (m_waiting.size() >= m_parameters.max_waiting ||
      now + EstimateWait(ahead) >=
          LatestStart(request, kRequiredShareWhenQueued))
    return Verdict::kRefused;
  m_waiting.emplace(rank, request);
  return Verdict::kQueued;
}

void TargetAdmission::OnFinished(RequestTicket ticket,
                                 std::optional<Clock::Duration> work) {
  const auto found = m_running.find(ticket);
  if (found == m_running.end())
    return;
  const std::string kind = found->second.route;
  m_running.erase(found);
  if (!work)
    return;
  m_mean_service_time = UpdateAverage(m_mean_service_time, *work);
  const auto known = m_service_times.find(kind);
  if (known != m_service_times.end())
    known->second = UpdateAverage(known->second, *work);
  else if (m_service_times.size() < kMaxTrackedRoutes)
    m_service_times.emplace(kind, UpdateAverage(m_mean_service_time, *work));
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
      [this](const auto& one) { return !IsLong(one.second.route); }));
  const auto slots = static_cast<double>(m_parameters.concurrency);
  return running + 1 <= slots * (1 - kShareReservedForLong);
}

std::map<TargetAdmission::Rank, TargetAdmission::Request>::iterator
TargetAdmission::FindNext() {
  const auto first = m_waiting.begin();
  if (first->first.is_long || HasCapacityForShort())
    return first;
  Rank first_long = first->first;
  first_long.is_long = true;
  first_long.sequence = 0;
  const auto other = m_waiting.lower_bound(first_long);
  const bool is_as_urgent = other != m_waiting.end() && other->first.is_long &&
                            other->first.priority == first->first.priority;
  return is_as_urgent ? other : first;
}

TargetAdmission::Changes TargetAdmission::Poll() {
  Changes changes;
  if (m_waiting.empty())
    return changes;
  UpdateRanks();
  const Clock::TimePoint now = m_clock.Now();
  while (!m_waiting.empty() && m_running.size() < m_parameters.concurrency) {
    auto next = m_waiting.extract(FindNext());
    Request& request = next.mapped();
    if (now >= LatestStart(request, kRequiredShareWithFreeSlot)) {
      changes.refused.push_back(request.ticket);
      continue;
    }
    changes.admitted.push_back(request.ticket);
    m_running.emplace(request.ticket, std::move(request));
  }
  std::size_t ahead = 0;
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    if (now + EstimateWait(ahead) <
        LatestStart(it->second, kRequiredShareWhenQueued)) {
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
  return EstimateWait(m_waiting.size());
}

}  // namespace citrongrade
