#include "modules/transport/loop_signal.h"

#include <utility>

#include "modules/transport/rpc_loop.h"

namespace citrongrade {

struct LoopSignal::State {
  explicit State(RpcLoop& loop_in) : loop(loop_in) {}

  RpcLoop& loop;
  // Set from a notification until a wait has seen it: one task at a time is on
  // its way to the loop, however often others notify.
  std::atomic<bool> notified = false;
  // On the loop only.
  kj::Own<kj::PromiseFulfiller<void>> fulfiller;
};

LoopSignal::LoopSignal(RpcLoop& loop)
    : m_state(std::make_shared<State>(loop)) {}

LoopSignal::~LoopSignal() {
  m_state->fulfiller = nullptr;
}

std::function<void()> LoopSignal::Notifier() const {
  return [state = m_state] {
    if (state->notified.exchange(true))
      return;
    state->loop.Post([state] {
      if (state->fulfiller.get() != nullptr)
        state->fulfiller->fulfill();
    });
  };
}

kj::Promise<void> LoopSignal::Wait() {
  if (m_state->notified.exchange(false))
    return kj::READY_NOW;
  auto pair = kj::newPromiseAndFulfiller<void>();
  m_state->fulfiller = kj::mv(pair.fulfiller);
  return pair.promise.then([state = m_state] {
    state->fulfiller = nullptr;
    state->notified = false;
  });
}

}  // namespace citrongrade
