#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "modules/coordination/service_settings_resolver.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

// Declares each service that a configuration entry names, with equal settings.
class FakeSettingsResolver final : public ServiceSettingsResolver {
 public:
  explicit FakeSettingsResolver(std::uint32_t slot_count)
      : m_slot_count(slot_count) {}

  std::vector<std::shared_ptr<const ServiceSettings>> Resolve(
      const MeshState& state) const override {
    std::vector<std::shared_ptr<const ServiceSettings>> services;
    for (const auto& [key, entry] : state.config()) {
      const auto slash = entry.name.find('/');
      if (entry.kind != ConfigKind::kService || slash == std::string::npos) {
        continue;
      }
      auto settings = std::make_shared<ServiceSettings>();
      settings->id = {WorkspaceName(entry.name.substr(0, slash)),
                      ServiceName(entry.name.substr(slash + 1))};
      settings->slot_count = m_slot_count;
      services.push_back(std::move(settings));
    }
    return services;
  }

 private:
  const std::uint32_t m_slot_count;
};

}  // namespace citrongrade
