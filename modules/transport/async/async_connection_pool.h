#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/transport/async/async_http_connection.h"
#include "modules/transport/async/task.h"
#include "modules/transport/http_address.h"

namespace citrongrade {

// Pool of idle keep-alive connections to other processes, for use on one event
// loop. The pool bounds only the number of idle connections; its users bound
// the number in use.
class AsyncConnectionPool {
 public:
  struct Settings {
    std::size_t max_idle_per_address = 32;
    // Lifetime of an idle connection. Well below the time after which peers
    // close idle connections.
    Clock::Duration idle_timeout = std::chrono::seconds(5);
    Clock::Duration connect_timeout = std::chrono::milliseconds(500);
    // A connection is dropped this long before its peer would close it. If the
    // peer closes while a request is in flight, nothing proves that the request
    // has not run.
    Clock::Duration keep_alive_margin = std::chrono::milliseconds(1000);
    // See AsyncHttpConnection::Open().
    ResponseMemory* response_memory = nullptr;
  };

  AsyncConnectionPool(boost::asio::io_context& loop,
                      const Clock& clock,
                      const Settings& settings);
  ~AsyncConnectionPool();

  // Returns the most recently used connection that has been idle for at most
  // `max_idle`, or opens a new one. Throws ConnectRefusedError, ConnectError.
  Task<std::unique_ptr<AsyncHttpConnection>> Acquire(HttpAddress address,
                                                     Clock::Duration max_idle);
  // The same, but never returns a connection that has carried a request with
  // this id.
  Task<std::unique_ptr<AsyncHttpConnection>> AcquireFor(
      HttpAddress address,
      Clock::Duration max_idle,
      std::string_view request_id);
  // Opens a connection that has carried nothing yet. Throws as Acquire() does.
  Task<std::unique_ptr<AsyncHttpConnection>> OpenNew(HttpAddress address);
  // Keeps the connection for reuse, or closes it if it isn't reusable or enough
  // idle connections are kept.
  void Release(const HttpAddress& address,
               std::unique_ptr<AsyncHttpConnection> connection);
  // Closes the idle connections that are stale, and returns whether there were
  // any. See AsyncHttpConnection::IsStale().
  bool DropClosed(const HttpAddress& address);
  // Whether there is an idle connection to `address`. It may be stale.
  bool HasIdle(const HttpAddress& address) const;
  // Closes all idle connections to `address`. Call it when the process at the
  // address has been replaced or has ended.
  void CloseIdle(const HttpAddress& address);
  // Closes the connections that have been idle for too long.
  void CloseExpired();

  std::uint64_t opened_count() const { return m_opened_count; }

 private:
  struct Idle {
    std::unique_ptr<AsyncHttpConnection> connection;
    Clock::TimePoint since;
    Clock::TimePoint expires;
  };

  // Takes the most recently used connection that fits; empty if there is none.
  // Closes those that it finds stale or expired.
  std::unique_ptr<AsyncHttpConnection> TakeIdle(
      const HttpAddress& address,
      Clock::Duration max_idle,
      std::optional<std::string_view> request_id);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  const Settings m_settings;
  std::map<HttpAddress, std::vector<Idle>> m_idle;
  std::uint64_t m_opened_count = 0;
};

}  // namespace citrongrade
