#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>

#include "modules/protocol/forwarding.capnp.h"
#include "modules/transport/data_rpc_client.h"

namespace citrongrade {

// One kept connection to another node, from its opening on. Made and used on
// the loop. For DataRpcClient only.
class DataRpcConnection {
 public:
  // Throws InvalidHttpAddressError.
  DataRpcConnection(kj::AsyncIoContext& io,
                    const std::string& address,
                    const DataRpcClient::Settings& settings);

  // Resolves once it is open; fails when it can't be opened.
  kj::Promise<void> WhenOpen();
  // Only after WhenOpen. Throws kj::Exception once failed.
  rpc::RequestRunner::Client Runner();
  // Fails, once, when the connection is lost or silent. Never resolves.
  kj::Promise<void> WhenFailed();
  bool has_failed() const { return m_failed; }

 private:
  kj::Promise<void> Open(const std::string& address);
  kj::Promise<void> Ping();
  void Fail(kj::Exception&& reason);

  kj::AsyncIoContext& m_io;
  DataRpcClient::Settings m_settings;
  kj::Own<kj::NetworkAddress> m_address;
  kj::Own<kj::AsyncIoStream> m_stream;
  kj::Own<capnp::TwoPartyClient> m_client;
  bool m_failed = false;
  kj::Own<kj::PromiseFulfiller<void>> m_failure_fulfiller;
  kj::ForkedPromise<void> m_failure;
  kj::ForkedPromise<void> m_opened;
  kj::Promise<void> m_watching = nullptr;
};

}  // namespace citrongrade
