#include "modules/state/mesh/routing_config.h"

namespace citrongrade {

const RoutedService* RoutingConfig::FindService(const std::string& name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

}  // namespace citrongrade
