#pragma once

#include <stdexcept>

namespace citrongrade {

// A record that the log would not take or no reader could read: too large, or
// with text that is not UTF-8.
class RecordNotEncodableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace citrongrade
