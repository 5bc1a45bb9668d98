#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "modules/coordination/peer_sender.h"

namespace citrongrade {

class RpcLoop;

// Sends coordinators' messages over kept connections of the control loop. What
// can't be sent is dropped, as PeerSender allows: a full ring, a peer that does
// not take messages, a connection that is lost. Kin: PeerRpcServer, its other
// end.
class PeerRpcSender final : public PeerSender {
 public:
  explicit PeerRpcSender(RpcLoop& loop);
  ~PeerRpcSender() override;
  PeerRpcSender(const PeerRpcSender&) = delete;
  PeerRpcSender& operator=(const PeerRpcSender&) = delete;

  void Send(const std::string& peer_address,
            const PeerMessage& message) override;

 private:
  class Implementation;

  RpcLoop& m_loop;
  // Lives on the loop.
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
