#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace kj {
struct AsyncIoContext;
}

namespace citrongrade {

// One thread with a Cap'n Proto event loop. Other threads hand it work through
// a bounded ring; everything of Cap'n Proto is touched on this thread alone.
//
// A node has two, for data and for control: a burst of bodies on one can't
// delay the lease renewals on the other.
class RpcLoop {
 public:
  // Starts the thread, named after its duty. `ring_capacity`: tasks that wait
  // for it.
  RpcLoop(const char* duty, std::size_t ring_capacity);
  // Stops it. Objects made on it must be gone by then (see RunAndWait).
  ~RpcLoop();
  RpcLoop(const RpcLoop&) = delete;
  RpcLoop& operator=(const RpcLoop&) = delete;

  // Runs the task on the loop, soon. Any thread; waits while the ring is full.
  // Dropped once the loop has stopped.
  void Post(std::function<void()> task);

  // As Post, but drops the task and returns false when the ring is full.
  bool TryPost(std::function<void()> task);

  // Runs the task on the loop and returns after it. Rethrows what it throws.
  // Not from the loop itself.
  void RunAndWait(const std::function<void()>& task);

  // On the loop only.
  kj::AsyncIoContext& io();

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
