#include "modules/transport/async/async_connection_pool.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace citrongrade {

AsyncConnectionPool::AsyncConnectionPool(boost::asio::io_context& loop,
                                         const Clock& clock,
                                         const Settings& settings)
    : m_loop(loop), m_clock(clock), m_settings(settings) {}

AsyncConnectionPool::~AsyncConnectionPool() = default;

std::unique_ptr<AsyncHttpConnection> AsyncConnectionPool::TakeIdle(
    const HttpAddress& address,
    Clock::Duration max_idle,
    std::optional<std::string_view> request_id) {
  std::vector<Idle>& idle = m_idle[address];
  const Clock::TimePoint now = m_clock.Now();
  // The connections before one that has been idle for too long have been idle
  // even longer.
  for (std::size_t at = idle.size();
       at > 0 && now - idle[at - 1].since <= max_idle; --at) {
    const Idle& one = idle[at - 1];
    const bool is_usable = now < one.expires && !one.connection->IsStale();
    if (is_usable && request_id &&
        one.connection->sent_request_ids().Contains(*request_id))
      continue;
    std::unique_ptr<AsyncHttpConnection> taken =
        std::move(idle[at - 1].connection);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at - 1));
    if (is_usable)
      return taken;
  }
  return nullptr;
}

Task<std::unique_ptr<AsyncHttpConnection>> AsyncConnectionPool::Acquire(
    HttpAddress address,
    Clock::Duration max_idle) {
  if (auto idle = TakeIdle(address, max_idle, std::nullopt))
    co_return std::move(idle);
  co_return co_await OpenNew(std::move(address));
}

Task<std::unique_ptr<AsyncHttpConnection>> AsyncConnectionPool::AcquireFor(
    HttpAddress address,
    Clock::Duration max_idle,
    std::string_view request_id) {
  if (auto idle = TakeIdle(address, max_idle, request_id))
    co_return std::move(idle);
  co_return co_await OpenNew(std::move(address));
}

Task<std::unique_ptr<AsyncHttpConnection>> AsyncConnectionPool::OpenNew(
    HttpAddress address) {
  ++m_opened_count;
  co_return co_await AsyncHttpConnection::Open(
      m_loop, address, m_settings.connect_timeout, m_settings.response_memory);
}

bool AsyncConnectionPool::DropClosed(const HttpAddress& address) {
  const auto found = m_idle.find(address);
  if (found == m_idle.end())
    return false;
  return std::erase_if(found->second, [](const Idle& idle) {
           return idle.connection->IsStale();
         }) > 0;
}

void AsyncConnectionPool::Release(
    const HttpAddress& address,
    std::unique_ptr<AsyncHttpConnection> connection) {
  if (!connection->is_reusable())
    return;
  const Clock::TimePoint now = m_clock.Now();
  Clock::Duration keep_for = m_settings.idle_timeout;
  if (connection->peer_keep_alive() > Clock::Duration(0)) {
    keep_for = std::min<Clock::Duration>(
        keep_for, connection->peer_keep_alive() - m_settings.keep_alive_margin);
  }
  std::vector<Idle>& idle = m_idle[address];
  if (keep_for > Clock::Duration(0) &&
      idle.size() < m_settings.max_idle_per_address)
    idle.push_back({std::move(connection), now, now + keep_for});
}

bool AsyncConnectionPool::HasIdle(const HttpAddress& address) const {
  // An address stays known for a while after its last connection was taken.
  const auto found = m_idle.find(address);
  return found != m_idle.end() && !found->second.empty();
}

void AsyncConnectionPool::CloseIdle(const HttpAddress& address) {
  m_idle.erase(address);
}

void AsyncConnectionPool::CloseExpired() {
  const Clock::TimePoint now = m_clock.Now();
  for (auto& [address, idle] : m_idle)
    std::erase_if(idle, [now](const Idle& one) { return now >= one.expires; });
  std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace citrongrade
