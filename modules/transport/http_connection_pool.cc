#include "modules/transport/http_connection_pool.h"

#include <mutex>
#include <utility>
#include <vector>

namespace citrongrade {

HttpConnectionPool::HttpConnectionPool(const HttpAddress& address,
                                       std::size_t max_idle)
    : m_address(address), m_max_idle(max_idle) {}

HttpClientConnection HttpConnectionPool::Take() {
  {
    const std::lock_guard lock(m_mutex);
    if (!m_idle.empty()) {
      HttpClientConnection connection = std::move(m_idle.back());
      m_idle.pop_back();
      return connection;
    }
  }
  return Open();
}

HttpClientConnection HttpConnectionPool::Open() const {
  return HttpClientConnection(m_address);
}

void HttpConnectionPool::GiveBack(HttpClientConnection connection) {
  if (!connection.is_reusable())
    return;
  const std::lock_guard lock(m_mutex);
  if (m_idle.size() < m_max_idle)
    m_idle.push_back(std::move(connection));
}

void HttpConnectionPool::Clear() {
  std::vector<HttpClientConnection> closing;
  const std::lock_guard lock(m_mutex);
  closing.swap(m_idle);
}

}  // namespace citrongrade
