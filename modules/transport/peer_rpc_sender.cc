#include "modules/transport/peer_rpc_sender.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "modules/coordination/messages/peer_message.h"
#include "modules/protocol/peer_message_codec.h"
#include "modules/transport/rpc_address.h"
#include "modules/transport/rpc_loop.h"
#include "modules/transport/task_error_log.h"

namespace citrongrade {

namespace {

// A peer that has not taken so many messages is behind by more than anybody
// waits for; further ones would only make it later still.
constexpr std::size_t kMaxOnTheWay = 256;
// Shorter than a lease, so that a connection that has gone silent costs a
// holder a renewal or two of one witness and no more.
constexpr auto kMessageTimeout = 700 * kj::MILLISECONDS;
constexpr auto kConnectTimeout = 500 * kj::MILLISECONDS;

}  // namespace

class PeerRpcSender::Implementation {
 public:
  explicit Implementation(RpcLoop& loop) : m_loop(loop), m_tasks(m_error_log) {}

  void Send(const std::string& address, const PeerMessage& message);

 private:
  struct Connection {
    kj::Own<kj::NetworkAddress> address;
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    kj::ForkedPromise<void> opened = nullptr;
    std::size_t on_the_way = 0;
    bool failed = false;
  };

  std::shared_ptr<Connection> FindOrOpen(const std::string& address);
  kj::Promise<void> Open(Connection& connection, const std::string& address);
  kj::Promise<void> Deliver(Connection& connection, const PeerMessage& message);

  RpcLoop& m_loop;
  std::map<std::string, std::shared_ptr<Connection>> m_connections;
  TaskErrorLog m_error_log;
  kj::TaskSet m_tasks;
};

void PeerRpcSender::Implementation::Send(const std::string& address,
                                         const PeerMessage& message) {
  const std::shared_ptr<Connection> connection = FindOrOpen(address);
  if (connection->on_the_way >= kMaxOnTheWay)
    return;
  ++connection->on_the_way;
  m_tasks.add(connection->opened.addBranch()
                  .then([this, connection, message] {
                    return Deliver(*connection, message);
                  })
                  .then([connection] { --connection->on_the_way; },
                        [connection](kj::Exception&& reason) {
                          --connection->on_the_way;
                          connection->failed = true;
                          spdlog::debug("event=peer-message-lost reason=\"{}\"",
                                        reason.getDescription().cStr());
                        }));
}

std::shared_ptr<PeerRpcSender::Implementation::Connection>
PeerRpcSender::Implementation::FindOrOpen(const std::string& address) {
  std::shared_ptr<Connection>& connection = m_connections[address];
  if (!connection || connection->failed) {
    connection = std::make_shared<Connection>();
    connection->opened = Open(*connection, address).fork();
  }
  return connection;
}

kj::Promise<void> PeerRpcSender::Implementation::Open(
    Connection& connection,
    const std::string& address) {
  kj::AsyncIoContext& io = m_loop.io();
  connection.address = ParseRpcAddress(io.provider->getNetwork(), address);
  return io.provider->getTimer()
      .timeoutAfter(kConnectTimeout, connection.address->connect())
      .then([&connection](kj::Own<kj::AsyncIoStream> stream) {
        connection.stream = kj::mv(stream);
        connection.client = kj::heap<capnp::TwoPartyClient>(*connection.stream);
      });
}

kj::Promise<void> PeerRpcSender::Implementation::Deliver(
    Connection& connection,
    const PeerMessage& message) {
  auto peer = connection.client->bootstrap().castAs<rpc::Peer>();
  auto request = peer.deliverRequest();
  PeerMessageCodec::Encode(message, request.initMessage());
  return m_loop.io().provider->getTimer().timeoutAfter(
      kMessageTimeout, request.send().ignoreResult());
}

PeerRpcSender::PeerRpcSender(RpcLoop& loop) : m_loop(loop) {
  m_loop.RunAndWait(
      [&] { m_implementation = std::make_unique<Implementation>(loop); });
}

PeerRpcSender::~PeerRpcSender() {
  m_loop.RunAndWait([this] { m_implementation.reset(); });
}

void PeerRpcSender::Send(const std::string& peer_address,
                         const PeerMessage& message) {
  m_loop.TryPost([this, peer_address, message] {
    try {
      m_implementation->Send(peer_address, message);
    } catch (const std::exception& error) {
      spdlog::warn("event=peer-address-bad address=\"{}\" reason=\"{}\"",
                   peer_address, error.what());
    }
  });
}

}  // namespace citrongrade
