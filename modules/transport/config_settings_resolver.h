#pragma once

#include <memory>
#include <vector>

#include "modules/coordination/service_settings_resolver.h"
#include "modules/protocol/service_settings_codec.h"

namespace citrongrade {

// ServiceSettingsCodec for NodeCoordinator. The state must have been replayed
// with ConfigRules, so that every entry in force can be read.
class ConfigSettingsResolver final : public ServiceSettingsResolver {
 public:
  std::vector<std::shared_ptr<const ServiceSettings>> Resolve(
      const MeshState& state) const override {
    std::vector<std::shared_ptr<const ServiceSettings>> all;
    for (const auto& [id, settings] : ServiceSettingsCodec::DecodeAll(state))
      all.push_back(settings);
    return all;
  }
};

}  // namespace citrongrade
