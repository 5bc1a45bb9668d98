#include "modules/protocol/config_settings_resolver.h"

#include "modules/protocol/service_settings_codec.h"

namespace citrongrade {

std::vector<std::shared_ptr<const ServiceSettings>>
ConfigSettingsResolver::Resolve(const MeshState& state) const {
  std::vector<std::shared_ptr<const ServiceSettings>> all;
  for (const auto& [id, settings] : ServiceSettingsCodec::DecodeAll(state)) {
    all.push_back(settings);
  }
  return all;
}

}  // namespace citrongrade
