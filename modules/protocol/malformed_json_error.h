#pragma once

#include <stdexcept>

namespace citrongrade {

// JSON text that does not hold what its reader expects: not JSON, a field that
// is missing, unknown, of another type, or out of its bounds.
class MalformedJsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace citrongrade
