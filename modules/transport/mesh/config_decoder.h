#pragma once

#include <stdexcept>
#include <string>

#include "modules/state/mesh/routing_config.h"

namespace citrongrade {

// The operators' document can't be read as a configuration.
class InvalidConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the operators' document.
class ConfigDecoder {
 public:
  virtual ~ConfigDecoder() = default;

  // Throws InvalidConfigError.
  virtual RoutingConfig Decode(const std::string& document) const = 0;
};

}  // namespace citrongrade
