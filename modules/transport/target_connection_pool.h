#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/transport/http_address.h"
#include "modules/transport/http_client_connection.h"

namespace citrongrade {

// Kept connections to one target. At most as many are open as calls run at
// once, which its user bounds by what the target accepts. Thread-safe.
class TargetConnectionPool {
 public:
  // A target may close an idle connection at the moment that a request goes
  // out on it, and then nobody can tell whether it ran. Work that may run only
  // once goes on a connection that was busy just now, or on a new one (1 ms).
  static constexpr std::chrono::seconds kFreshFor{1};
  static constexpr std::chrono::seconds kKeptFor{20};

  TargetConnectionPool(const Clock& clock, HttpAddress address);

  const HttpAddress& address() const { return m_address; }

  // The most lately used connection, or a new one. Throws ConnectError.
  std::unique_ptr<HttpClientConnection> Take(bool must_be_fresh);
  // Keeps the connection if it may serve another request.
  void GiveBack(std::unique_ptr<HttpClientConnection> connection);

  // Nobody listens at the target's address: its process is gone.
  bool IsRefused() const;

  std::size_t idle_count() const;

 private:
  struct Idle {
    std::unique_ptr<HttpClientConnection> connection;
    Clock::TimePoint since;
  };

  std::unique_ptr<HttpClientConnection> TakeIdle(bool must_be_fresh);

  const Clock& m_clock;
  const HttpAddress m_address;
  mutable std::mutex m_mutex;
  // Most lately used last.
  std::vector<Idle> m_idle;
};

}  // namespace citrongrade
