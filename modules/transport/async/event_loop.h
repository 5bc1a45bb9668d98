#pragma once

#include <boost/asio/io_context.hpp>

namespace citrongrade {

// An event loop for one thread, whose waiting coroutines can be destroyed
// before the objects that they use.
//
// A loop that is a member is declared before what uses it, so it is destroyed
// last. Coroutines that still wait at that time are destroyed with it: their
// guards then ran on objects that were gone, and a stopping process ended by a
// segmentation fault.
//
// Usage: call DestroyWaiting() first in the destructor of the object that owns
// both.
class EventLoop : public boost::asio::io_context {
 public:
  EventLoop() : boost::asio::io_context(1) {}

  // Destroys all coroutines and handlers that wait, and closes their sockets
  // and timers. The loop must have stopped, and can't run again.
  void DestroyWaiting() { shutdown(); }
};

}  // namespace citrongrade
