#pragma once

#include <memory>

namespace citrongrade {

class RequestTransfer;

// Takes a request on to whoever runs it and brings the answer back into the
// transfer. Kin: TargetDispatcher runs it here, RemoteRunner at another node.
class RequestCarrier {
 public:
  virtual ~RequestCarrier() = default;

  // Returns soon; the transfer is answered later, exactly once, by its deadline
  // at the latest.
  virtual void Carry(const std::shared_ptr<RequestTransfer>& transfer) = 0;
};

}  // namespace citrongrade
