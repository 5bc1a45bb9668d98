#pragma once

#include <stdexcept>
#include <string>

#include "modules/state/mesh/routing_config.h"

namespace citrongrade {

// The operators' document is not a valid configuration.
class InvalidConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Decodes the operators' document.
class ConfigDecoder {
 public:
  virtual ~ConfigDecoder() = default;

  // Throws InvalidConfigError.
  virtual RoutingConfig Decode(const std::string& document) const = 0;
};

}  // namespace citrongrade
