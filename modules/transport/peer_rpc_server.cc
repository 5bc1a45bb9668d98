#include "modules/transport/peer_rpc_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>
#include <utility>

#include "modules/protocol/peer_message_codec.h"
#include "modules/transport/rpc_address.h"
#include "modules/transport/rpc_listen_error.h"
#include "modules/transport/rpc_loop.h"

namespace citrongrade {

namespace {

// Cap'n Proto deletes its servers as what they are, never through the base, so
// the base has no virtual destructor.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

class PeerServer final : public rpc::Peer::Server {
 public:
  explicit PeerServer(PeerRpcServer::MessageCallback on_message)
      : m_on_message(std::move(on_message)) {}

 protected:
  kj::Promise<void> deliver(DeliverContext context) override {
    m_on_message(PeerMessageCodec::Decode(context.getParams().getMessage()));
    return kj::READY_NOW;
  }

 private:
  PeerRpcServer::MessageCallback m_on_message;
};

#pragma GCC diagnostic pop

}  // namespace

class PeerRpcServer::Implementation {
 public:
  Implementation(kj::Own<kj::ConnectionReceiver> listener,
                 MessageCallback on_message)
      : m_listener(kj::mv(listener)),
        m_server(kj::heap<PeerServer>(std::move(on_message))),
        m_accepting(
            m_server.listen(*m_listener).eagerlyEvaluate([](kj::Exception&&) {
              // The listener is gone with the process.
            })) {}

 private:
  kj::Own<kj::ConnectionReceiver> m_listener;
  capnp::TwoPartyServer m_server;
  kj::Promise<void> m_accepting;
};

PeerRpcServer::PeerRpcServer(RpcLoop& loop,
                             const std::string& address,
                             MessageCallback on_message)
    : m_loop(loop) {
  m_loop.RunAndWait([&] {
    try {
      auto listener =
          ParseRpcAddress(m_loop.io().provider->getNetwork(), address)
              ->listen();
      m_implementation = std::make_unique<Implementation>(
          kj::mv(listener), std::move(on_message));
    } catch (const kj::Exception& error) {
      throw RpcListenError(address + ": " + error.getDescription().cStr());
    }
  });
}

PeerRpcServer::~PeerRpcServer() {
  m_loop.RunAndWait([this] { m_implementation.reset(); });
}

}  // namespace citrongrade
