#include "modules/transport/route_chooser.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

#include "modules/coordination/load/retry_budget.h"
#include "modules/coordination/load/target_ejection.h"
#include "modules/coordination/load/target_picker.h"
#include "modules/coordination/routing_table.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kRefreshInterval{100};

}  // namespace

class RouteChooser::Implementation {
 public:
  // Choices for one service. A service that is divided by key uses the budget
  // alone.
  struct Service {
    Service(const Clock& clock,
            std::mt19937_64& random,
            const AvailabilityZone& zone)
        : short_picker(clock, random, zone),
          long_picker(clock, random, zone),
          ejection(clock, random, TargetEjection::Parameters()),
          budget(RetryBudget::Parameters()) {}

    TargetPicker& PickerOf(WorkClass work_class) {
      return work_class == WorkClass::kLong ? long_picker : short_picker;
    }
    void SetTarget(const TargetId& target, const Route& route);
    void RemoveTarget(const TargetId& target);
    // To be called whenever the ejection may have changed its mind: a probing
    // target that stayed eligible would get many probes at once.
    void UpdateEligibility(const TargetId& target);

    TargetPicker short_picker;
    TargetPicker long_picker;
    TargetEjection ejection;
    RetryBudget budget;
    std::map<TargetId, Route> members;
    Clock::TimePoint refreshed = Clock::TimePoint::min();
  };

  Service& Find(const ServiceId& id);
  void Refresh(const ServiceId& id, Service& service);

  const Clock& clock;
  const RoutingTable& table;
  const AvailabilityZone own_zone;
  std::mutex mutex;
  std::mt19937_64 random{std::random_device()()};
  std::map<ServiceId, std::unique_ptr<Service>> services;
};

void RouteChooser::Implementation::Service::SetTarget(const TargetId& target,
                                                      const Route& route) {
  const TargetDescription description{
      target, route.availability_zone,
      std::max<std::size_t>(1, route.target_slots)};
  short_picker.SetTarget(description);
  long_picker.SetTarget(description);
  ejection.OnAnnounced(target, false);
  // One that joins a service already in use has just started.
  const bool is_new = !members.contains(target);
  if (is_new && refreshed != Clock::TimePoint::min())
    ejection.MarkCold(target);
}

void RouteChooser::Implementation::Service::RemoveTarget(
    const TargetId& target) {
  short_picker.RemoveTarget(target);
  long_picker.RemoveTarget(target);
  ejection.RemoveTarget(target);
}

void RouteChooser::Implementation::Service::UpdateEligibility(
    const TargetId& target) {
  const bool eligible = ejection.IsEligible(target);
  short_picker.SetEligible(target, eligible);
  long_picker.SetEligible(target, eligible);
}

RouteChooser::Implementation::Service& RouteChooser::Implementation::Find(
    const ServiceId& id) {
  std::unique_ptr<Service>& service = services[id];
  if (!service)
    service = std::make_unique<Service>(clock, random, own_zone);
  return *service;
}

void RouteChooser::Implementation::Refresh(const ServiceId& id,
                                           Service& service) {
  const Clock::TimePoint now = clock.Now();
  if (service.refreshed != Clock::TimePoint::min() &&
      now - service.refreshed < kRefreshInterval) {
    return;
  }
  std::map<TargetId, Route> members;
  for (const Route& route : table.FindMembers(id))
    members.emplace(TargetId(route.data_address), route);
  for (const auto& [target, route] : service.members) {
    if (!members.contains(target)) {
      service.RemoveTarget(target);
    }
  }
  for (const auto& [target, route] : members)
    service.SetTarget(target, route);
  service.ejection.Poll();
  for (const auto& [target, route] : members)
    service.UpdateEligibility(target);
  service.members = std::move(members);
  service.refreshed = now;
}

RouteChooser::RouteChooser(const Clock& clock,
                           const RoutingTable& table,
                           AvailabilityZone own_zone)
    : m_implementation(
          new Implementation{clock,
                             table,
                             std::move(own_zone),
                             {},
                             std::mt19937_64(std::random_device()()),
                             {}}) {}

RouteChooser::~RouteChooser() = default;

std::optional<Route> RouteChooser::Choose(const ServiceSettings& settings,
                                          const std::string& slot_key,
                                          WorkClass work_class,
                                          const std::string& failed) {
  Implementation& self = *m_implementation;
  if (!slot_key.empty())
    return self.table.FindOwner(settings.id, slot_key);
  const std::lock_guard lock(self.mutex);
  Implementation::Service& service = self.Find(settings.id);
  self.Refresh(settings.id, service);
  std::optional<TargetId> excluded;
  if (!failed.empty() && service.members.contains(TargetId(failed)))
    excluded = TargetId(failed);
  const std::optional<TargetId> picked =
      service.PickerOf(work_class).Pick(excluded);
  if (!picked)
    return std::nullopt;
  service.PickerOf(work_class).OnSent(*picked);
  service.ejection.OnSent(*picked);
  service.UpdateEligibility(*picked);
  return service.members.at(*picked);
}

void RouteChooser::OnFinished(const ServiceId& service,
                              const Route& route,
                              WorkClass work_class,
                              TargetCallOutcome outcome,
                              Clock::Duration latency) {
  Implementation& self = *m_implementation;
  const std::lock_guard lock(self.mutex);
  Implementation::Service& found = self.Find(service);
  const TargetId target(route.data_address);
  found.PickerOf(work_class).OnFinished(target);
  found.ejection.OnFinished(target, outcome, latency);
  if (found.members.contains(target))
    found.UpdateEligibility(target);
}

void RouteChooser::OnFirstTry(const ServiceId& service) {
  const std::lock_guard lock(m_implementation->mutex);
  m_implementation->Find(service).budget.OnFirstAttempt();
}

bool RouteChooser::TryRetry(const ServiceId& service,
                            RetryAllowance allowance) {
  const std::lock_guard lock(m_implementation->mutex);
  return m_implementation->Find(service).budget.TryAcquire(allowance);
}

}  // namespace citrongrade
