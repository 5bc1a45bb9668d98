#pragma once

#include <functional>
#include <memory>
#include <string>

#include "modules/coordination/messages/peer_message.h"

namespace citrongrade {

class RpcLoop;

// Listens for coordinators' messages on the control loop. Kin: PeerRpcSender,
// its other end.
class PeerRpcServer {
 public:
  // Called on the loop; must not block.
  using MessageCallback = std::function<void(const PeerMessage&)>;

  // Throws RpcListenError when `address` ("ip:port") can't be listened on.
  PeerRpcServer(RpcLoop& loop,
                const std::string& address,
                MessageCallback on_message);
  ~PeerRpcServer();
  PeerRpcServer(const PeerRpcServer&) = delete;
  PeerRpcServer& operator=(const PeerRpcServer&) = delete;

 private:
  class Implementation;

  RpcLoop& m_loop;
  // Lives on the loop.
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
