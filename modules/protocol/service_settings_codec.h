#pragma once

#include <map>
#include <memory>

#include "modules/state/config_entry.h"
#include "modules/state/service_id.h"
#include "modules/state/service_settings.h"

namespace citrongrade {

class MeshState;

// Makes the settings that nodes run of the entries that are in force.
class ServiceSettingsCodec {
 public:
  using SettingsMap =
      std::map<ServiceId, std::shared_ptr<const ServiceSettings>>;

  // Throws InvalidDeclarationError. Entries that ConfigRules accepted together
  // don't.
  static ServiceSettings Decode(const ConfigEntry& service_template,
                                const ConfigEntry& service);

  // Every service in force. Throws InvalidDeclarationError, for a state that
  // was made without ConfigRules.
  static SettingsMap DecodeAll(const MeshState& state);
};

}  // namespace citrongrade
