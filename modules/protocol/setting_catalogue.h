#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "modules/protocol/setting_bounds.h"
#include "modules/protocol/setting_value.h"

namespace citrongrade {

struct ServiceSettings;

// All settings that a template may fill: their names, types and bounds, and
// which field of ServiceSettings each one is.
class SettingCatalogue {
 public:
  struct Setting {
    std::string name;
    SettingBounds bounds;
    // What it does, for operators.
    std::string description;
    void (*apply)(ServiceSettings& settings, const SettingValue& value);
  };

  static const std::vector<Setting>& All();
  // Null when there is none of this name.
  static const Setting* Find(std::string_view name);
  static std::vector<std::string> Names();
};

}  // namespace citrongrade
