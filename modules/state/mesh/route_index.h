#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "modules/state/mesh/routing_config.h"

namespace citrongrade {

// Finds a request's route without a search through all routes, since a host
// with a tenth of a core does this lookup for each request. Refers to the
// configuration that it was built from, which must outlive it.
class RouteIndex {
 public:
  explicit RouteIndex(const RoutingConfig& config);

  // The route of the host with the longest path prefix that matches the path;
  // null if there is none. `host` may include a port. If two routes have the
  // same host and prefix, the first one is used.
  const RouteRule* Find(std::string_view host, std::string_view path) const;

 private:
  using RoutesByPrefix = std::unordered_map<std::string_view, const RouteRule*>;

  // Keys are host names in lower case.
  std::map<std::string, RoutesByPrefix, std::less<>> m_hosts;
};

}  // namespace citrongrade
