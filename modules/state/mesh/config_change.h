#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/state/mesh/routing_config.h"

namespace citrongrade {

// What leads from one version of the configuration to a later one: as long as
// the difference, however long the configuration is. Immutable once made.
struct ConfigChange {
  // 0: from nothing, so everything is named.
  std::uint64_t from_version = 0;
  std::uint64_t to_version = 0;
  std::vector<std::string> removed_routes;
  // New or other than before.
  std::vector<RouteRule> routes;
  std::vector<std::string> removed_services;
  std::vector<RoutedService> services;
  CallerLimits limits;
  // Position in the store's log behind the later version's document, from where
  // the store can be followed; nothing: not known.
  std::optional<std::uint64_t> store_next;

  static ConfigChange Full(const RoutingConfig& config);
  static ConfigChange Between(const RoutingConfig& older,
                              const RoutingConfig& newer);

  // `base` has to be of from_version; for a change from nothing it is not
  // looked at. Routes of the result stand in the order of their names.
  RoutingConfig ApplyTo(const RoutingConfig& base) const;

  friend auto operator<=>(const ConfigChange&, const ConfigChange&) = default;
};

}  // namespace citrongrade
