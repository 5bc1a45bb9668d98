#pragma once

#include <cstddef>
#include <mutex>
#include <vector>

#include "modules/transport/http_address.h"
#include "modules/transport/http_client_connection.h"

namespace citrongrade {

// Kept connections to one address for many threads. No limit on those in use:
// its users have one. Thread-safe.
class HttpConnectionPool {
 public:
  HttpConnectionPool(const HttpAddress& address, std::size_t max_idle);

  // An idle connection, the last used first, or a new one. An idle one may have
  // been closed by the peer since. Throws ConnectError.
  HttpClientConnection Take();

  // Always a new one. Throws ConnectError.
  HttpClientConnection Open() const;

  // Keeps it if it is reusable and there is room, else closes it.
  void GiveBack(HttpClientConnection connection);

  // Closes all idle ones: the peer was replaced.
  void Clear();

  const HttpAddress& address() const { return m_address; }

 private:
  const HttpAddress m_address;
  const std::size_t m_max_idle;
  std::mutex m_mutex;
  std::vector<HttpClientConnection> m_idle;
};

}  // namespace citrongrade
