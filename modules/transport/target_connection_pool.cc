#include "modules/transport/target_connection_pool.h"

#include <utility>

#include "modules/transport/http_errors.h"

namespace citrongrade {

TargetConnectionPool::TargetConnectionPool(const Clock& clock,
                                           HttpAddress address)
    : m_clock(clock), m_address(std::move(address)) {}

std::unique_ptr<HttpClientConnection> TargetConnectionPool::Take(
    bool must_be_fresh) {
  std::unique_ptr<HttpClientConnection> idle = TakeIdle(must_be_fresh);
  if (idle)
    return idle;
  return std::make_unique<HttpClientConnection>(m_address);
}

void TargetConnectionPool::GiveBack(
    std::unique_ptr<HttpClientConnection> connection) {
  if (!connection->is_reusable())
    return;
  const std::lock_guard lock(m_mutex);
  m_idle.push_back({std::move(connection), m_clock.Now()});
}

bool TargetConnectionPool::IsRefused() const {
  try {
    const HttpClientConnection connection(m_address);
    return false;
  } catch (const ConnectError&) {
    return true;
  }
}

std::size_t TargetConnectionPool::idle_count() const {
  const std::lock_guard lock(m_mutex);
  return m_idle.size();
}

std::unique_ptr<HttpClientConnection> TargetConnectionPool::TakeIdle(
    bool must_be_fresh) {
  std::vector<Idle> expired;
  const std::lock_guard lock(m_mutex);
  const Clock::TimePoint now = m_clock.Now();
  while (!m_idle.empty() && now - m_idle.front().since > kKeptFor) {
    expired.push_back(std::move(m_idle.front()));
    m_idle.erase(m_idle.begin());
  }
  if (m_idle.empty())
    return nullptr;
  if (must_be_fresh && now - m_idle.back().since > kFreshFor)
    return nullptr;
  std::unique_ptr<HttpClientConnection> connection =
      std::move(m_idle.back().connection);
  m_idle.pop_back();
  return connection;
}

}  // namespace citrongrade
