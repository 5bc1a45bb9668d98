#include "modules/transport/data_rpc_connection.h"

#include <chrono>

#include "modules/transport/rpc_address.h"

namespace citrongrade {

namespace {

kj::Duration ToKj(std::chrono::milliseconds duration) {
  return duration.count() * kj::MILLISECONDS;
}

}  // namespace

DataRpcConnection::DataRpcConnection(kj::AsyncIoContext& io,
                                     const std::string& address,
                                     const DataRpcClient::Settings& settings)
    : m_io(io), m_settings(settings), m_failure(nullptr), m_opened(nullptr) {
  auto failure = kj::newPromiseAndFulfiller<void>();
  m_failure_fulfiller = kj::mv(failure.fulfiller);
  m_failure = failure.promise.fork();
  m_opened = Open(address).fork();
}

kj::Promise<void> DataRpcConnection::WhenOpen() {
  return m_opened.addBranch();
}

rpc::RequestRunner::Client DataRpcConnection::Runner() {
  KJ_REQUIRE(!m_failed, "the connection is lost");
  return m_client->bootstrap().castAs<rpc::RequestRunner>();
}

kj::Promise<void> DataRpcConnection::WhenFailed() {
  return m_failure.addBranch();
}

kj::Promise<void> DataRpcConnection::Open(const std::string& address) {
  m_address = ParseRpcAddress(m_io.provider->getNetwork(), address);
  return m_io.provider->getTimer()
      .timeoutAfter(ToKj(m_settings.connect_timeout), m_address->connect())
      .then(
          [this](kj::Own<kj::AsyncIoStream> stream) {
            m_stream = kj::mv(stream);
            m_client = kj::heap<capnp::TwoPartyClient>(*m_stream);
            m_watching =
                m_client->onDisconnect()
                    .then([]() -> kj::Promise<void> {
                      return KJ_EXCEPTION(DISCONNECTED, "the peer closed");
                    })
                    .exclusiveJoin(Ping())
                    .eagerlyEvaluate([this](kj::Exception&& reason) {
                      Fail(kj::mv(reason));
                    });
          },
          [this](kj::Exception&& reason) {
            m_failed = true;
            kj::throwFatalException(kj::mv(reason));
          });
}

kj::Promise<void> DataRpcConnection::Ping() {
  kj::Timer& timer = m_io.provider->getTimer();
  return timer.afterDelay(ToKj(m_settings.heartbeat_interval))
      .then([this, &timer] {
        return timer.timeoutAfter(ToKj(m_settings.heartbeat_timeout),
                                  Runner().pingRequest().send().ignoreResult());
      })
      .then([this] { return Ping(); });
}

void DataRpcConnection::Fail(kj::Exception&& reason) {
  m_failed = true;
  m_failure_fulfiller->reject(kj::mv(reason));
}

}  // namespace citrongrade
