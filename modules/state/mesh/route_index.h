#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "modules/state/mesh/routing_config.h"

namespace citrongrade {

// Finds a request's route in a time that does not grow with the number of
// routes: a host on a tenth of a core looks one up for each request. Refers to
// the configuration that it was made of, which must outlive it.
class RouteIndex {
 public:
  explicit RouteIndex(const RoutingConfig& config);

  // The route of that host whose prefix is the longest that begins the path;
  // nothing when there is none. `host` may carry a port. Of two routes with the
  // same host and prefix the first one counts.
  const RouteRule* Find(std::string_view host, std::string_view path) const;

 private:
  using RoutesByPrefix = std::unordered_map<std::string_view, const RouteRule*>;

  // Hosts in lower case.
  std::map<std::string, RoutesByPrefix, std::less<>> m_hosts;
};

}  // namespace citrongrade
