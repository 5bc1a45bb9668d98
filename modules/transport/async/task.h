#pragma once

#include <boost/asio/awaitable.hpp>

namespace citrongrade {

// Work of the event loop that waits for others; every co_await in it may let
// other tasks run. All tasks of a process share one thread.
template <typename Result = void>
using Task = boost::asio::awaitable<Result>;

}  // namespace citrongrade
