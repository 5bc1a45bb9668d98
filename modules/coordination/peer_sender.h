#pragma once

#include <string>

namespace citrongrade {

struct PeerMessage;

// The way to other nodes' coordinators. Never blocks and reports no failure: a
// message that matters is sent again. Kin: FakePeerNetwork.
class PeerSender {
 public:
  virtual ~PeerSender() = default;

  // `peer_address` is the "ip:port" of the receiver's join record.
  virtual void Send(const std::string& peer_address,
                    const PeerMessage& message) = 0;
};

}  // namespace citrongrade
