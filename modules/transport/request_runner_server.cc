#include "modules/transport/request_runner_server.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "modules/coordination/clock.h"
#include "modules/protocol/forwarding_codec.h"
#include "modules/transport/body_pipe.h"
#include "modules/transport/body_pump.h"
#include "modules/transport/byte_source_server.h"
#include "modules/transport/loop_signal.h"
#include "modules/transport/request_carrier.h"
#include "modules/transport/request_transfer.h"

namespace citrongrade {

// One forwarded request while it runs. Destroyed before its end when the entry
// node dropped the call or its connection is gone: that cancels it.
class RequestRunnerServer::Run {
 public:
  Run(RpcLoop& loop, std::shared_ptr<RequestTransfer> transfer)
      : m_loop(loop), m_transfer(std::move(transfer)), m_answered(loop) {
    m_transfer->SetAnswerCallback(m_answered.Notifier());
  }

  ~Run() {
    if (!m_handed_over)
      m_transfer->Cancel();
  }

  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  void TakeBody(rpc::RequestRunner::RunParams::Reader params) {
    const auto first = params.getBody();
    m_transfer->upload().TryWrite(std::string(
        reinterpret_cast<const char*>(first.begin()), first.size()));
    if (!params.hasRest()) {
      m_transfer->upload().End();
      return;
    }
    m_upload.emplace(m_loop, params.getRest(), m_transfer,
                     m_transfer->upload());
    m_uploading = m_upload->Run().eagerlyEvaluate(nullptr);
  }

  kj::Promise<void> WaitForAnswer() {
    if (m_transfer->is_answered())
      return kj::READY_NOW;
    return m_answered.Wait().then([this] { return WaitForAnswer(); });
  }

  // `self` is this one: it goes on as long as the answer's body does, since the
  // request's body may still be on its way.
  void GiveAnswer(rpc::RequestRunner::RunResults::Builder results,
                  kj::Own<Run> self) {
    ForwardingCodec::Encode(m_transfer->answer(), results.initHead());
    BodyPipe& body = m_transfer->download();
    const BodyPipe::ReadResult first =
        body.TryRead(RequestTransfer::kInlineBytes);
    results.setBody(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(first.bytes.data()),
                     first.bytes.size()));
    const bool failed = first.state == BodyPipe::ReadState::kFailed;
    if (failed || !body.is_finished()) {
      results.setRest(kj::heap<ByteSourceServer>(m_loop, m_transfer, body)
                          .attach(kj::mv(self)));
    }
    m_handed_over = true;
  }

 private:
  RpcLoop& m_loop;
  std::shared_ptr<RequestTransfer> m_transfer;
  LoopSignal m_answered;
  std::optional<BodyPump> m_upload;
  kj::Promise<void> m_uploading = nullptr;
  bool m_handed_over = false;
};

RequestRunnerServer::RequestRunnerServer(RpcLoop& loop,
                                         const Clock& clock,
                                         RequestCarrier& runner)
    : m_loop(loop), m_clock(clock), m_runner(runner) {}

kj::Promise<void> RequestRunnerServer::run(RunContext context) {
  context.allowCancellation();
  const auto params = context.getParams();
  ForwardedRequest request = ForwardingCodec::Decode(params.getHead());
  const Clock::TimePoint deadline = m_clock.Now() + request.deadline;
  auto transfer =
      std::make_shared<RequestTransfer>(std::move(request), deadline);
  auto run = kj::heap<Run>(m_loop, transfer);
  Run& self = *run;
  self.TakeBody(params);
  context.releaseParams();
  m_runner.Carry(transfer);
  return self.WaitForAnswer().then([run = kj::mv(run), context]() mutable {
    Run& answered = *run;
    answered.GiveAnswer(context.getResults(), kj::mv(run));
  });
}

kj::Promise<void> RequestRunnerServer::ping(PingContext /*context*/) {
  return kj::READY_NOW;
}

}  // namespace citrongrade
