#pragma once

#include <stdexcept>

namespace citrongrade {

// Bytes that should be a message of another node, or a record of this system,
// can't be read as one.
class MalformedMessageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace citrongrade
