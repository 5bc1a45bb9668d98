#pragma once

#include <nlohmann/json_fwd.hpp>

namespace citrongrade {

struct ServiceSettings;

// A service's settings as JSON, in the words of declarations.
class ServiceSettingsPrinter {
 public:
  static nlohmann::ordered_json ToJson(const ServiceSettings& settings);
};

}  // namespace citrongrade
