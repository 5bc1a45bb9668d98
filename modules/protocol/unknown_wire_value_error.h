#pragma once

#include <stdexcept>

namespace citrongrade {

// A message of another node holds a value that this version does not know.
class UnknownWireValueError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace citrongrade
