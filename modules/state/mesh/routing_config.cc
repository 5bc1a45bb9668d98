#include "modules/state/mesh/routing_config.h"

#include <algorithm>
#include <cctype>

namespace citrongrade {

namespace {

bool SameHost(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

}  // namespace

const RouteRule* RoutingConfig::FindRoute(std::string_view host,
                                          std::string_view path) const {
  const std::string_view name = host.substr(0, host.find(':'));
  const RouteRule* best = nullptr;
  for (const RouteRule& route : routes) {
    if (!path.starts_with(route.path_prefix) || !SameHost(route.host, name))
      continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size())
      best = &route;
  }
  return best;
}

const RoutedService* RoutingConfig::FindService(const std::string& name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

}  // namespace citrongrade
