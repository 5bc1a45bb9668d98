// Where a request's time goes, stage by stage, in one process on loopback: the
// call to the target alone, the same through TargetDispatcher (admission, grant
// check, a thread of the pool), and the same from another node's side through
// the data RPC. The difference of two stages is what the later one adds.

#include <benchmark/benchmark.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "modules/coordination/request_guard.h"
#include "modules/coordination/steady_clock.h"
#include "modules/transport/body_pipe.h"
#include "modules/transport/data_rpc_client.h"
#include "modules/transport/data_rpc_server.h"
#include "modules/transport/http_client_connection.h"
#include "modules/transport/http_exchange.h"
#include "modules/transport/http_handler.h"
#include "modules/transport/http_server.h"
#include "modules/transport/http_server_settings.h"
#include "modules/transport/request_transfer.h"
#include "modules/transport/rpc_loop.h"
#include "modules/transport/target_dispatcher.h"
#include "modules/transport/testing/silent_listener.h"

namespace citrongrade {

namespace {

constexpr std::chrono::seconds kDeadline{10};
constexpr std::size_t kMaxAnswerBytes = 4096;
const ServiceId kService{WorkspaceName("w"), ServiceName("s")};

class EchoTarget final : public HttpHandler {
 public:
  void Handle(HttpExchange& exchange) override {
    const HttpHeader headers[] = {
        {"Citrongrade-Request-Id",
         std::string(exchange.Header("Citrongrade-Request-Id").value_or(""))}};
    exchange.Send(200, headers, "answer");
  }
};

class GrantAll final : public RequestGuard {
 public:
  GrantDecision CheckGrant(const ServiceId& /*service*/,
                           SlotIndex /*slot*/) const override {
    return {std::nullopt, Epoch(1), std::chrono::milliseconds(1000)};
  }
  void EndWork(const ServiceId& /*service*/, SlotIndex /*slot*/) override {}
  void Register(const ProtectedRequest& /*request*/,
                RegistrationCallback on_registered) override {
    on_registered({});
  }
  void Finish(const ProtectedRequest& /*request*/,
              std::shared_ptr<const StoredAnswer> /*answer*/) override {}
  void Withdraw(const ProtectedRequest& /*request*/) override {}
};

HttpServerSettings LoopbackSettings() {
  HttpServerSettings settings;
  settings.address = HttpAddress{"127.0.0.1", 0};
  return settings;
}

ForwardedRequest MakeRequest() {
  ForwardedRequest request;
  request.service = kService;
  request.request_id = "bench-1";
  request.method = "GET";
  request.target = "/w/s/x";
  request.key = "audit-1";
  request.slot = SlotIndex(1);
  request.is_idempotent = true;
  return request;
}

class OwnerNode {
 public:
  OwnerNode() {
    TargetAnnouncement announcement;
    announcement.service = kService;
    announcement.address = target.address().ToString();
    announcement.concurrency = 12;
    announcement.connections = 16;
    announcement.state = TargetAnnouncement::State::kServing;
    dispatcher.OnAnnouncement(announcement);
  }

  const SteadyClock clock{};
  EchoTarget echo;
  HttpServer target{LoopbackSettings(), echo};
  GrantAll guard;
  TargetDispatcher dispatcher{clock, guard};
};

template <typename Carry>
void RunRequests(benchmark::State& state,
                 OwnerNode& owner,
                 const Carry& carry) {
  Clock::TimePoint announced = owner.clock.Now();
  for (auto _ : state) {
    auto transfer = std::make_shared<RequestTransfer>(
        MakeRequest(), owner.clock.Now() + kDeadline);
    transfer->upload().End();
    carry(transfer);
    const auto answer = transfer->WaitForAnswer(transfer->deadline());
    if (!answer || answer->is_refusal()) {
      state.SkipWithError("refused");
      break;
    }
    if (owner.clock.Now() - announced > std::chrono::seconds(1)) {
      owner.dispatcher.OnAnnouncement(*owner.dispatcher.target());
      announced = owner.clock.Now();
    }
  }
}

void CallTarget(benchmark::State& state) {
  OwnerNode owner;
  HttpClientConnection connection(owner.target.address());
  HttpRequest request;
  request.target = "/w/s/x";
  for (auto _ : state)
    connection.Call(request, kDeadline, kMaxAnswerBytes);
}
BENCHMARK(CallTarget)->UseRealTime()->Unit(benchmark::kMicrosecond);

void DispatchLocally(benchmark::State& state) {
  OwnerNode owner;
  RunRequests(state, owner,
              [&](const auto& transfer) { owner.dispatcher.Carry(transfer); });
}
BENCHMARK(DispatchLocally)->UseRealTime()->Unit(benchmark::kMicrosecond);

void ForwardToOwner(benchmark::State& state) {
  OwnerNode owner;
  SilentListener free_address;
  const std::string address = free_address.TakeAddress();
  RpcLoop owner_loop("owner", 1024);
  RpcLoop entry_loop("entry", 1024);
  const DataRpcServer server(owner_loop, owner.clock, owner.dispatcher,
                             address);
  DataRpcClient client(entry_loop, owner.clock, DataRpcClient::Settings());
  RunRequests(state, owner,
              [&](const auto& transfer) { client.Forward(address, transfer); });
}
BENCHMARK(ForwardToOwner)->UseRealTime()->Unit(benchmark::kMicrosecond);

}  // namespace

}  // namespace citrongrade

BENCHMARK_MAIN();
