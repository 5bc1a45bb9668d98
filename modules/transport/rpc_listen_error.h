#pragma once

#include <stdexcept>

namespace citrongrade {

// An RPC address can't be listened on: in use, or not one of this host.
class RpcListenError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace citrongrade
