#pragma once

#include <stdexcept>

namespace citrongrade {

// Flags or environment variables hold mistakes: all of them in one message.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace citrongrade
