#include "modules/transport/mesh/instance_chooser.h"

#include <algorithm>
#include <utility>

#include "modules/coordination/load/target_ejection.h"
#include "modules/coordination/load/target_picker.h"

namespace citrongrade {

namespace {

// Maximum number of picks, of two random choices each, until one isn't
// excluded.
constexpr int kMaxPicks = 8;
// Weight of one answer in the mean latency of its route. About fifty answers
// dominate the mean, so that a few slow ones don't distort the reference that
// they are compared with.
constexpr double kMeanLatencyWeight = 0.02;
// Avoids a division by zero where an operator configured no target latency.
constexpr Clock::Duration kMinTargetLatency = std::chrono::milliseconds(1);
// The limit may end before what it was when it was told.
constexpr std::chrono::milliseconds kMaxPause{500};
// A refusal counts as an answer with this ratio of latency to target latency.
constexpr double kRefusalLatencyRatio = 1.5;

}  // namespace

struct InstanceChooser::Service {
  Service(const Clock& clock, std::mt19937_64& random, const std::string& zone)
      : picker(clock, random, AvailabilityZone(zone)),
        ejection(clock, random, TargetEjection::Parameters()) {}

  TargetPicker picker;
  TargetEjection ejection;
  std::set<std::string> members;
  std::map<std::string, Clock::TimePoint> paused_until;
  bool was_used = false;
  // Mean latency by route, in seconds.
  std::map<std::string, double> mean_latency_s;

  bool IsEligible(const std::string& member) const {
    return !paused_until.contains(member) &&
           ejection.IsEligible(TargetId(member));
  }

  void UpdateEligibility(const std::string& member) {
    picker.SetEligible(TargetId(member), IsEligible(member));
  }

  // Updates the mean latency of the route. Returns the latency divided by the
  // mean before the update.
  double RecordLatency(const std::string& route, Clock::Duration latency) {
    const double seconds = std::chrono::duration<double>(latency).count();
    double& mean = mean_latency_s.try_emplace(route, seconds).first->second;
    const double slowness = mean > 0 ? seconds / mean : 1;
    const double bounded = std::min(seconds, mean * TargetPicker::kMaxSlowness);
    mean += kMeanLatencyWeight * (bounded - mean);
    return slowness;
  }
};

InstanceChooser::InstanceChooser(const Clock& clock, std::string own_zone)
    : m_clock(clock),
      m_own_zone(std::move(own_zone)),
      m_random(std::random_device()()) {}

InstanceChooser::~InstanceChooser() = default;

void InstanceChooser::RefreshService(const std::string& name,
                                     const MeshView& view,
                                     Service& service) {
  std::set<std::string> members;
  for (const MeshMember* member : view.MembersOf(name)) {
    if (member->state == MeshMember::State::kAbsent)
      continue;
    members.insert(member->address);
    const TargetId id(member->address);
    service.picker.SetTarget({id, AvailabilityZone(member->zone),
                              std::max<std::size_t>(1, member->concurrency)});
    const bool is_leaving = member->state == MeshMember::State::kDraining;
    // The member left and is back. Views never go backwards, but one may skip
    // the time in between. TargetEjection would take the return for a delayed
    // announcement and ignore it, and the member would never get requests
    // again.
    const bool is_known = service.members.contains(member->address);
    if (!is_leaving && is_known &&
        service.ejection.StateOf(id) == TargetEjection::State::kLeaving)
      service.ejection.RemoveTarget(id);
    service.ejection.OnAnnounced(id, is_leaving);
    if (service.was_used && !is_known)
      service.ejection.MarkCold(id);
  }
  for (const std::string& removed : service.members) {
    if (members.contains(removed))
      continue;
    service.picker.RemoveTarget(TargetId(removed));
    service.ejection.RemoveTarget(TargetId(removed));
    service.paused_until.erase(removed);
  }
  service.members = std::move(members);
  service.ejection.Poll();
  ResumeMembers(service);
  for (const std::string& member : service.members)
    service.UpdateEligibility(member);
}

void InstanceChooser::ResumeMembers(Service& service) {
  const Clock::TimePoint now = m_clock.Now();
  for (auto it = service.paused_until.begin();
       it != service.paused_until.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    const std::string member = it->first;
    it = service.paused_until.erase(it);
    if (service.members.contains(member))
      service.UpdateEligibility(member);
  }
}

void InstanceChooser::Pause(const std::string& service,
                            const std::string& address,
                            Clock::Duration duration) {
  const auto found = m_services.find(service);
  if (found == m_services.end() || !found->second->members.contains(address))
    return;
  found->second->paused_until[address] =
      m_clock.Now() + std::min<Clock::Duration>(duration, kMaxPause);
  found->second->UpdateEligibility(address);
}

std::optional<Clock::Duration> InstanceChooser::TimeUntilResumed(
    const std::string& service) const {
  const auto found = m_services.find(service);
  if (found == m_services.end())
    return std::nullopt;
  std::optional<Clock::Duration> earliest;
  for (const auto& [member, until] : found->second->paused_until) {
    const Clock::Duration left =
        std::max(Clock::Duration(0), until - m_clock.Now());
    earliest = std::min(left, earliest.value_or(left));
  }
  return earliest;
}

void InstanceChooser::Refresh(const MeshView& view) {
  for (const MeshMember* member : view.members()) {
    if (member->service.empty() || view.FindTable(member->service) != nullptr)
      continue;
    std::unique_ptr<Service>& service = m_services[member->service];
    if (!service)
      service = std::make_unique<Service>(m_clock, m_random, m_own_zone);
  }
  for (auto& [name, service] : m_services)
    RefreshService(name, view, *service);
}

std::optional<std::string> InstanceChooser::Choose(
    const std::string& service,
    const std::set<std::string>& excluded) {
  const auto found = m_services.find(service);
  if (found == m_services.end())
    return std::nullopt;
  Service& chosen = *found->second;
  chosen.was_used = true;
  if (!chosen.paused_until.empty())
    ResumeMembers(chosen);
  std::optional<TargetId> last;
  for (int pick = 0; pick < kMaxPicks; ++pick) {
    const std::optional<TargetId> picked = chosen.picker.Pick(last);
    if (!picked)
      return std::nullopt;
    if (!excluded.contains(picked->value())) {
      chosen.picker.OnSent(*picked);
      chosen.ejection.OnSent(*picked);
      chosen.UpdateEligibility(picked->value());
      return picked->value();
    }
    last = picked;
  }
  return ChooseAny(chosen, excluded);
}

std::optional<std::string> InstanceChooser::ChooseAny(
    Service& service,
    const std::set<std::string>& excluded) {
  for (const std::string& member : service.members) {
    const TargetId id(member);
    if (excluded.contains(member) || !service.IsEligible(member))
      continue;
    service.picker.OnSent(id);
    service.ejection.OnSent(id);
    service.UpdateEligibility(member);
    return member;
  }
  return std::nullopt;
}

bool InstanceChooser::HasAlternative(
    const std::string& service,
    const std::set<std::string>& excluded) const {
  const auto found = m_services.find(service);
  if (found == m_services.end())
    return false;
  const Service& searched = *found->second;
  return std::any_of(searched.members.begin(), searched.members.end(),
                     [&](const std::string& member) {
                       return !excluded.contains(member) &&
                              !searched.paused_until.contains(member);
                     });
}

void InstanceChooser::OnFinished(const std::string& service,
                                 const std::string& address,
                                 const std::string& route,
                                 TargetCallOutcome outcome,
                                 Clock::Duration latency,
                                 Clock::Duration target_latency) {
  const auto found = m_services.find(service);
  if (found == m_services.end())
    return;
  Service& chosen = *found->second;
  const TargetId id(address);
  chosen.picker.OnFinished(id);
  chosen.ejection.OnFinished(id, outcome, latency);
  if (chosen.members.contains(address))
    chosen.UpdateEligibility(address);
  if (outcome == TargetCallOutcome::kPaced)
    return;
  // A refusal is quick and says nothing about how long answers take.
  if (outcome != TargetCallOutcome::kNotRun)
    chosen.picker.OnSlowness(id, chosen.RecordLatency(route, latency));
  const double ratio = std::chrono::duration<double>(latency) /
                       std::chrono::duration<double>(
                           std::max(target_latency, kMinTargetLatency));
  chosen.picker.OnTargetLatencyRatio(
      id, outcome == TargetCallOutcome::kNotRun ? kRefusalLatencyRatio : ratio);
}

}  // namespace citrongrade
