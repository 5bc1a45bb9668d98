#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "modules/coordination/steady_clock.h"
#include "modules/transport/body_pipe.h"
#include "modules/transport/data_rpc_client.h"
#include "modules/transport/data_rpc_server.h"
#include "modules/transport/refusals.h"
#include "modules/transport/request_carrier.h"
#include "modules/transport/request_transfer.h"
#include "modules/transport/rpc_listen_error.h"
#include "modules/transport/rpc_loop.h"
#include "modules/transport/testing/silent_listener.h"

namespace citrongrade {

namespace {

constexpr std::chrono::seconds kPatience{10};

// The owner's side under the test's control.
class FakeRunner final : public RequestCarrier {
 public:
  void Carry(const std::shared_ptr<RequestTransfer>& transfer) override {
    run(transfer);
  }

  std::function<void(std::shared_ptr<RequestTransfer>)> run;
};

class TwoNodes {
 public:
  std::shared_ptr<RequestTransfer> Forward(ForwardedRequest request) {
    auto transfer = std::make_shared<RequestTransfer>(std::move(request),
                                                      clock.Now() + kPatience);
    client.Forward(address, transfer);
    return transfer;
  }

  const SteadyClock clock{};
  SilentListener listener;
  const std::string address = listener.TakeAddress();
  RpcLoop entry_loop{"entry", 64};
  RpcLoop owner_loop{"owner", 64};
  FakeRunner runner;
  DataRpcServer server{owner_loop, clock, runner, address};
  DataRpcClient client{entry_loop, clock, DataRpcClient::Settings()};
};

}  // namespace

TEST_CASE_FIXTURE(TwoNodes, "a request and its answer pass whole") {
  runner.run = [](const std::shared_ptr<RequestTransfer>& transfer) {
    transfer->download().TryWrite("echo of " + transfer->request().key);
    transfer->download().End();
    AnswerHead head;
    head.status = 201;
    transfer->Answer(head);
  };
  ForwardedRequest request;
  request.key = "berth-7";
  const auto transfer = Forward(request);
  transfer->upload().End();
  const auto answer = transfer->WaitForAnswer(clock.Now() + kPatience);
  REQUIRE(answer.has_value());
  CHECK(answer->status == 201);
  CHECK(transfer->download().Read(clock.Now()).bytes == "echo of berth-7");
  CHECK(transfer->download().Read(clock.Now()).state ==
        BodyPipe::ReadState::kEnd);
}

TEST_CASE_FIXTURE(TwoNodes, "bodies longer than all pipes pass both ways") {
  constexpr std::size_t kChunks = 200;
  const std::string chunk(std::size_t{64} * 1024, 'x');
  std::thread owner;
  runner.run = [&](std::shared_ptr<RequestTransfer> transfer) {
    owner = std::thread([transfer = std::move(transfer), this] {
      const auto until = clock.Now() + kPatience;
      AnswerHead head;
      head.body_length.reset();
      transfer->Answer(head);
      BodyPipe::ReadResult next = transfer->upload().Read(until);
      while (next.state == BodyPipe::ReadState::kBytes) {
        transfer->download().Write(next.bytes, until);
        next = transfer->upload().Read(until);
      }
      transfer->download().End();
    });
  };
  ForwardedRequest request;
  request.body_length = kChunks * chunk.size();
  const auto transfer = Forward(request);
  std::thread caller([&] {
    for (std::size_t i = 0; i < kChunks; ++i)
      transfer->upload().Write(chunk, clock.Now() + kPatience);
    transfer->upload().End();
  });
  std::size_t received = 0;
  while (true) {
    const auto next = transfer->download().Read(clock.Now() + kPatience);
    if (next.state != BodyPipe::ReadState::kBytes) {
      CHECK(next.state == BodyPipe::ReadState::kEnd);
      break;
    }
    received += next.bytes.size();
  }
  caller.join();
  owner.join();
  CHECK(received == kChunks * chunk.size());
}

TEST_CASE_FIXTURE(TwoNodes, "a caller that gives up cancels at the owner") {
  // The caller closes its connection while the owner works. The entry node
  // drops the call; the owner learns of it and stops.
  std::shared_ptr<RequestTransfer> at_owner;
  runner.run = [&](std::shared_ptr<RequestTransfer> transfer) {
    at_owner = std::move(transfer);
  };
  const auto transfer = Forward({});
  const auto until = clock.Now() + kPatience;
  while (client.GetStatus().running == 0 || transfer->is_answered())
    std::this_thread::yield();
  bool arrived = false;
  while (!arrived && clock.Now() < until)
    owner_loop.RunAndWait([&] { arrived = at_owner != nullptr; });
  REQUIRE(arrived);
  CHECK_FALSE(transfer->Cancel());
  while (!at_owner->is_cancelled() && clock.Now() < until)
    std::this_thread::yield();
  CHECK(at_owner->is_cancelled());
}

TEST_CASE("a node that nobody listens at is proved not to have run anything") {
  const SteadyClock clock;
  SilentListener listener;
  const std::string address = listener.TakeAddress();
  RpcLoop loop("test", 64);
  DataRpcClient client(loop, clock, DataRpcClient::Settings());
  const auto transfer = std::make_shared<RequestTransfer>(
      ForwardedRequest(), clock.Now() + kPatience);
  client.Forward(address, transfer);
  const auto answer = transfer->WaitForAnswer(clock.Now() + kPatience);
  REQUIRE(answer.has_value());
  CHECK(answer->outcome == RequestOutcome::kNotRun);
  CHECK(answer->error == RequestErrorCode::kOwnerUnreachable);
}

TEST_CASE("a request on a connection that goes silent ends as unknown") {
  // Something on the way forgets the connection: it stays open, and nothing
  // comes. Without the heartbeat the request would wait for its whole deadline,
  // and so would each one after it.
  const SteadyClock clock;
  const SilentListener listener;
  RpcLoop loop("test", 64);
  DataRpcClient::Settings settings;
  settings.heartbeat_interval = std::chrono::milliseconds(20);
  settings.heartbeat_timeout = std::chrono::milliseconds(50);
  DataRpcClient client(loop, clock, settings);
  const auto transfer = std::make_shared<RequestTransfer>(
      ForwardedRequest(), clock.Now() + kPatience);
  client.Forward(listener.address(), transfer);
  const auto answer = transfer->WaitForAnswer(clock.Now() + kPatience);
  REQUIRE(answer.has_value());
  CHECK(answer->outcome == RequestOutcome::kUnknown);
  CHECK(answer->error == RequestErrorCode::kOwnerUnreachable);
  CHECK(client.GetStatus().connections == 0);
}

TEST_CASE("an address in use is told as such") {
  const SteadyClock clock;
  const SilentListener taken;
  RpcLoop loop("test", 64);
  FakeRunner runner;
  CHECK_THROWS_AS(DataRpcServer(loop, clock, runner, taken.address()),
                  RpcListenError);
}

}  // namespace citrongrade
