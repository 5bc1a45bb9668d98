#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/transport/async/async_http_connection.h"
#include "modules/transport/async/task.h"
#include "modules/transport/http_address.h"

namespace citrongrade {

// Kept connections to other processes, on the event loop. It bounds the idle
// ones; its users bound those in use.
class AsyncConnectionPool {
 public:
  struct Settings {
    std::size_t max_idle_per_address = 32;
    // Well below the time after which peers close idle connections.
    Clock::Duration idle_timeout = std::chrono::seconds(5);
    Clock::Duration connect_timeout = std::chrono::milliseconds(500);
  };

  AsyncConnectionPool(boost::asio::io_context& loop,
                      const Clock& clock,
                      const Settings& settings);
  ~AsyncConnectionPool();

  // The most lately used one that was idle for no longer than `max_idle`, or a
  // new one. Throws ConnectRefusedError, ConnectError.
  Task<std::unique_ptr<AsyncHttpConnection>> Acquire(HttpAddress address,
                                                     Clock::Duration max_idle);
  // Keeps it if it is reusable, else closes it.
  void Release(const HttpAddress& address,
               std::unique_ptr<AsyncHttpConnection> connection);
  // Drops those that the peer has closed meanwhile; true when there were any.
  bool DropClosed(const HttpAddress& address);
  // The process behind the address is another one now, or gone.
  void CloseIdle(const HttpAddress& address);
  // Closes what was idle for too long.
  void CloseExpired();

  std::uint64_t opened_count() const { return m_opened_count; }

 private:
  struct Idle {
    std::unique_ptr<AsyncHttpConnection> connection;
    Clock::TimePoint since;
    Clock::TimePoint expires;
  };

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  const Settings m_settings;
  std::map<HttpAddress, std::vector<Idle>> m_idle;
  std::uint64_t m_opened_count = 0;
};

}  // namespace citrongrade
