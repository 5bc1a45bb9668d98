#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/state/mesh/routing_config.h"
#include "modules/state/mesh/zone_evacuations.h"

namespace citrongrade {

// Difference between two versions of the routing configuration. Its size grows
// with the difference, not with the configuration. Immutable once built.
struct ConfigChange {
  // 0: the change starts from an empty configuration and contains everything.
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  std::vector<std::string> removed_routes;
  // Routes that are new or changed.
  std::vector<RouteRule> routes;
  std::vector<std::string> removed_services;
  std::vector<RoutedService> services;
  CallerLimits limits;
  // Position in the store's log right after the later version's document, from
  // which to follow the store. Not set if unknown.
  std::optional<std::uint64_t> store_next;
  // Includes all orders before `store_next`: whoever follows the store from
  // there does not read them any more.
  ZoneEvacuations evacuations;

  static ConfigChange Full(const RoutingConfig& config);
  static ConfigChange Between(const RoutingConfig& older,
                              const RoutingConfig& newer);

  // `base` must be version `from_version`; it is ignored if that is 0. The
  // routes of the result are sorted by name.
  RoutingConfig ApplyTo(const RoutingConfig& base) const;

  friend auto operator<=>(const ConfigChange&, const ConfigChange&) = default;
};

}  // namespace citrongrade
