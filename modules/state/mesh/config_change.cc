#include "modules/state/mesh/config_change.h"

#include <cassert>
#include <map>
#include <string_view>

namespace citrongrade {

namespace {

using RoutesByName = std::map<std::string_view, const RouteRule*>;

RoutesByName ByName(const std::vector<RouteRule>& routes) {
  RoutesByName by_name;
  for (const RouteRule& route : routes)
    by_name.insert_or_assign(route.name, &route);
  return by_name;
}

void AddRouteChanges(const RoutingConfig& older,
                     const RoutingConfig& newer,
                     ConfigChange& change) {
  const RoutesByName before = ByName(older.routes);
  const RoutesByName after = ByName(newer.routes);
  for (const auto& [name, route] : before) {
    if (!after.contains(name))
      change.removed_routes.emplace_back(name);
  }
  for (const auto& [name, route] : after) {
    const auto found = before.find(name);
    if (found == before.end() || *found->second != *route)
      change.routes.push_back(*route);
  }
}

void AddServiceChanges(const RoutingConfig& older,
                       const RoutingConfig& newer,
                       ConfigChange& change) {
  for (const auto& [name, service] : older.services) {
    if (!newer.services.contains(name))
      change.removed_services.push_back(name);
  }
  for (const auto& [name, service] : newer.services) {
    const auto found = older.services.find(name);
    if (found == older.services.end() || found->second != service)
      change.services.push_back(service);
  }
}

}  // namespace

ConfigChange ConfigChange::Full(const RoutingConfig& config) {
  return Between(RoutingConfig(), config);
}

ConfigChange ConfigChange::Between(const RoutingConfig& older,
                                   const RoutingConfig& newer) {
  ConfigChange change;
  change.from_version = older.version;
  change.to_version = newer.version;
  change.limits = newer.limits;
  AddRouteChanges(older, newer, change);
  AddServiceChanges(older, newer, change);
  return change;
}

RoutingConfig ConfigChange::ApplyTo(const RoutingConfig& base) const {
  assert((from_version == 0 || from_version == base.version) &&
         "the change starts from another version");
  RoutingConfig config;
  config.version = to_version;
  config.limits = limits;
  RoutesByName by_name;
  if (from_version != 0) {
    by_name = ByName(base.routes);
    config.services = base.services;
  }
  for (const std::string& name : removed_routes)
    by_name.erase(name);
  for (const RouteRule& route : routes)
    by_name.insert_or_assign(route.name, &route);
  config.routes.reserve(by_name.size());
  for (const auto& [name, route] : by_name)
    config.routes.push_back(*route);
  for (const std::string& name : removed_services)
    config.services.erase(name);
  for (const RoutedService& service : services)
    config.services.insert_or_assign(service.name, service);
  return config;
}

}  // namespace citrongrade
