#include "modules/transport/data_rpc_server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>

#include "modules/transport/request_runner_server.h"
#include "modules/transport/rpc_address.h"
#include "modules/transport/rpc_listen_error.h"
#include "modules/transport/rpc_loop.h"

namespace citrongrade {

class DataRpcServer::Implementation {
 public:
  Implementation(RpcLoop& loop,
                 const Clock& clock,
                 RequestCarrier& runner,
                 kj::Own<kj::ConnectionReceiver> listener)
      : m_listener(kj::mv(listener)),
        m_server(kj::heap<RequestRunnerServer>(loop, clock, runner)),
        m_accepting(
            m_server.listen(*m_listener).eagerlyEvaluate([](kj::Exception&&) {
              // The listener is gone with the process.
            })) {}

 private:
  kj::Own<kj::ConnectionReceiver> m_listener;
  capnp::TwoPartyServer m_server;
  kj::Promise<void> m_accepting;
};

DataRpcServer::DataRpcServer(RpcLoop& loop,
                             const Clock& clock,
                             RequestCarrier& runner,
                             const std::string& address)
    : m_loop(loop) {
  m_loop.RunAndWait([&] {
    try {
      auto listener =
          ParseRpcAddress(m_loop.io().provider->getNetwork(), address)
              ->listen();
      m_implementation = std::make_unique<Implementation>(m_loop, clock, runner,
                                                          kj::mv(listener));
    } catch (const kj::Exception& error) {
      throw RpcListenError(address + ": " + error.getDescription().cStr());
    }
  });
}

DataRpcServer::~DataRpcServer() {
  m_loop.RunAndWait([this] { m_implementation.reset(); });
}

}  // namespace citrongrade
