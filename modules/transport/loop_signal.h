#pragma once

#include <kj/async.h>

#include <atomic>
#include <functional>
#include <memory>

namespace citrongrade {

class RpcLoop;

// Lets other threads wake something that waits on an RpcLoop. Made, awaited and
// destroyed on the loop; its notifiers may be called anywhere and may outlive
// it. It may wake without cause: look again at what was waited for.
class LoopSignal {
 public:
  explicit LoopSignal(RpcLoop& loop);
  ~LoopSignal();
  LoopSignal(const LoopSignal&) = delete;
  LoopSignal& operator=(const LoopSignal&) = delete;

  std::function<void()> Notifier() const;

  // Resolves at the next notification, at once when one came since the last
  // wait. One wait at a time.
  kj::Promise<void> Wait();

 private:
  struct State;

  std::shared_ptr<State> m_state;
};

}  // namespace citrongrade
