#include "modules/state/mesh/route_index.h"

#include <algorithm>
#include <cctype>

namespace citrongrade {

namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) {
                   return static_cast<char>(std::tolower(letter));
                 });
  return lower;
}

}  // namespace

RouteIndex::RouteIndex(const RoutingConfig& config) {
  for (const RouteRule& route : config.routes)
    m_hosts[LowerCase(route.host)].try_emplace(route.path_prefix, &route);
}

const RouteRule* RouteIndex::Find(std::string_view host,
                                  std::string_view path) const {
  const std::string name = LowerCase(host.substr(0, host.find(':')));
  const auto routes = m_hosts.find(name);
  if (routes == m_hosts.end())
    return nullptr;
  // Prefixes end with a slash; try the longest first.
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found = routes->second.find(path.substr(0, slash + 1));
    if (found != routes->second.end())
      return found->second;
    slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
  }
  return nullptr;
}

}  // namespace citrongrade
