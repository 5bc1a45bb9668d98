#include "modules/transport/data_rpc_client.h"

#include <kj/async.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "modules/coordination/clock.h"
#include "modules/protocol/forwarding_codec.h"
#include "modules/transport/body_pipe.h"
#include "modules/transport/body_pump.h"
#include "modules/transport/byte_source_server.h"
#include "modules/transport/data_rpc_connection.h"
#include "modules/transport/refusals.h"
#include "modules/transport/request_transfer.h"
#include "modules/transport/rpc_loop.h"
#include "modules/transport/task_error_log.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kRetryAfterLostConnection{500};

using RunResponse = capnp::Response<rpc::RequestRunner::RunResults>;

}  // namespace

class DataRpcClient::Implementation {
 public:
  Implementation(RpcLoop& loop, const Clock& clock, const Settings& settings)
      : m_loop(loop),
        m_clock(clock),
        m_settings(settings),
        m_cleanup(m_error_log) {}

  void Start(const std::string& address,
             const std::shared_ptr<RequestTransfer>& transfer);
  void FailAll();
  Status GetStatus() const;

 private:
  // A request with a long body goes by the second connection.
  using ConnectionPair = std::array<std::shared_ptr<DataRpcConnection>, 2>;

  struct Call {
    std::shared_ptr<RequestTransfer> transfer;
    std::shared_ptr<DataRpcConnection> connection;
    std::optional<BodyPump> download;
    kj::Promise<void> progress = nullptr;
  };

  std::shared_ptr<DataRpcConnection> Connect(const std::string& address,
                                             const RequestTransfer& transfer);
  kj::Promise<void> Send(Call& call);
  kj::Promise<void> Receive(Call& call, RunResponse&& response);
  void Fail(Call& call, const kj::Exception& reason);
  void Remove(std::uint64_t id);

  RpcLoop& m_loop;
  const Clock& m_clock;
  const Settings m_settings;
  std::map<std::string, ConnectionPair> m_connections;
  std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
  std::uint64_t m_next_id = 1;
  Status m_status;
  TaskErrorLog m_error_log;
  kj::TaskSet m_cleanup;
};

void DataRpcClient::Implementation::Start(
    const std::string& address,
    const std::shared_ptr<RequestTransfer>& transfer) {
  const std::uint64_t id = m_next_id++;
  auto owned = std::make_unique<Call>();
  Call& call = *owned;
  call.transfer = transfer;
  try {
    call.connection = Connect(address, *transfer);
  } catch (const std::exception& error) {
    transfer->Answer(RefuseNotRun(RequestErrorCode::kOwnerUnreachable,
                                  error.what(), kRetryAfterLostConnection));
    return;
  }
  m_calls.emplace(id, std::move(owned));
  transfer->SetCancelCallback(
      [this, id] { m_loop.Post([this, id] { Remove(id); }); });
  call.progress =
      call.connection->WhenOpen()
          .then([this, &call] { return Send(call); })
          .exclusiveJoin(call.connection->WhenFailed())
          .then([] {},
                [this, &call](kj::Exception&& reason) { Fail(call, reason); })
          .then([this, id] {
            // A promise can't destroy itself while it runs.
            m_cleanup.add(kj::evalLater([this, id] { Remove(id); }));
          })
          .eagerlyEvaluate(nullptr);
}

std::shared_ptr<DataRpcConnection> DataRpcClient::Implementation::Connect(
    const std::string& address,
    const RequestTransfer& transfer) {
  const ForwardedRequest& request = transfer.request();
  const bool is_long = !request.body_length ||
                       *request.body_length > RequestTransfer::kInlineBytes;
  std::shared_ptr<DataRpcConnection>& connection =
      m_connections[address][is_long ? 1 : 0];
  if (connection && connection->has_failed()) {
    ++m_status.connections_lost;
    spdlog::warn("event=data-connection-replaced address={}", address);
    connection.reset();
  }
  if (!connection) {
    connection =
        std::make_shared<DataRpcConnection>(m_loop.io(), address, m_settings);
  }
  return connection;
}

kj::Promise<void> DataRpcClient::Implementation::Send(Call& call) {
  RequestTransfer& transfer = *call.transfer;
  if (!transfer.TryStart())
    return kj::READY_NOW;
  ForwardedRequest head = transfer.request();
  const auto left = std::chrono::floor<std::chrono::milliseconds>(
      transfer.deadline() - m_clock.Now());
  head.deadline = std::max(left, std::chrono::milliseconds(0));
  auto request = call.connection->Runner().runRequest();
  ForwardingCodec::Encode(head, request.initHead());
  const BodyPipe::ReadResult first =
      transfer.upload().TryRead(RequestTransfer::kInlineBytes);
  request.setBody(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(first.bytes.data()),
                   first.bytes.size()));
  const bool failed = first.state == BodyPipe::ReadState::kFailed;
  if (failed || !transfer.upload().is_finished()) {
    request.setRest(
        kj::heap<ByteSourceServer>(m_loop, call.transfer, transfer.upload()));
  }
  return request.send().then([this, &call](RunResponse&& response) {
    return Receive(call, kj::mv(response));
  });
}

kj::Promise<void> DataRpcClient::Implementation::Receive(
    Call& call,
    RunResponse&& response) {
  BodyPipe& download = call.transfer->download();
  const auto first = response.getBody();
  download.TryWrite(
      std::string(reinterpret_cast<const char*>(first.begin()), first.size()));
  const bool has_rest = response.hasRest();
  if (!has_rest)
    download.End();
  if (!call.transfer->Answer(ForwardingCodec::Decode(response.getHead()))) {
    ++m_status.late_answers;
    return kj::READY_NOW;
  }
  if (!has_rest)
    return kj::READY_NOW;
  call.download.emplace(m_loop, response.getRest(), call.transfer, download);
  return call.download->Run();
}

void DataRpcClient::Implementation::Fail(Call& call,
                                         const kj::Exception& reason) {
  RequestTransfer& transfer = *call.transfer;
  const std::string message = reason.getDescription().cStr();
  // Whoever cancels it here keeps it from being sent: then it never ran.
  const bool was_sent = !transfer.TryStart();
  if (was_sent) {
    transfer.Answer(RefuseUnknown(RequestErrorCode::kOwnerUnreachable, message,
                                  kRetryAfterLostConnection));
  } else {
    transfer.Answer(RefuseNotRun(RequestErrorCode::kOwnerUnreachable, message,
                                 kRetryAfterLostConnection));
  }
  transfer.upload().CloseReader();
  transfer.download().Fail();
}

void DataRpcClient::Implementation::FailAll() {
  for (auto& [id, call] : m_calls)
    Fail(*call, KJ_EXCEPTION(DISCONNECTED, "this node stops"));
  m_calls.clear();
  m_connections.clear();
}

DataRpcClient::Status DataRpcClient::Implementation::GetStatus() const {
  Status status = m_status;
  for (const auto& [address, pair] : m_connections) {
    for (const auto& connection : pair)
      status.connections += connection && !connection->has_failed() ? 1 : 0;
  }
  status.running = m_calls.size();
  return status;
}

void DataRpcClient::Implementation::Remove(std::uint64_t id) {
  m_calls.erase(id);
}

DataRpcClient::DataRpcClient(RpcLoop& loop,
                             const Clock& clock,
                             const Settings& settings)
    : m_loop(loop) {
  m_loop.RunAndWait([&] {
    m_implementation = std::make_unique<Implementation>(loop, clock, settings);
  });
}

DataRpcClient::~DataRpcClient() {
  m_loop.RunAndWait([this] {
    m_implementation->FailAll();
    m_implementation.reset();
  });
}

void DataRpcClient::Forward(const std::string& address,
                            const std::shared_ptr<RequestTransfer>& transfer) {
  m_loop.Post([this, address, transfer] {
    m_implementation->Start(address, transfer);
  });
}

DataRpcClient::Status DataRpcClient::GetStatus() const {
  Status status;
  m_loop.RunAndWait(
      [this, &status] { status = m_implementation->GetStatus(); });
  return status;
}

}  // namespace citrongrade
