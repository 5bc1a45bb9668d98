#pragma once

#include <boost/asio/awaitable.hpp>

namespace citrongrade {

// A coroutine on the event loop. Every co_await may let other tasks run; all
// tasks of a process share one thread.
template <typename Result = void>
using Task = boost::asio::awaitable<Result>;

}  // namespace citrongrade
