#include "modules/transport/mesh/config_transfer.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <utility>

#include "modules/protocol/config_change_codec.h"
#include "modules/protocol/malformed_message_error.h"
#include "modules/transport/async/async_connection_pool.h"
#include "modules/transport/mesh/config_follower.h"
#include "modules/transport/mesh/loop_monitor.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNothingNewer = 404;
constexpr milliseconds kFirstByteTimeout{400};
constexpr milliseconds kProgressTimeout{300};
constexpr milliseconds kMaxConnectionIdle{3000};

}  // namespace

ConfigTransfer::ConfigTransfer(boost::asio::io_context& loop,
                               const Clock& clock,
                               ConfigFollower& config,
                               AsyncConnectionPool& peers,
                               LoopMonitor& monitor)
    : m_loop(loop),
      m_clock(clock),
      m_config(config),
      m_peers(peers),
      m_monitor(monitor) {}

void ConfigTransfer::FetchFrom(const std::string& source,
                               std::function<void()> on_end) {
  ++m_last_fetch_number;
  if (m_connection != nullptr)
    std::exchange(m_connection, nullptr)->Close();
  m_is_fetching = true;
  boost::asio::co_spawn(m_loop,
                        Fetch(source, m_last_fetch_number, std::move(on_end)),
                        boost::asio::detached);
}

bool ConfigTransfer::TakeHasFailed() {
  return std::exchange(m_has_failed, false);
}

Task<> ConfigTransfer::Fetch(std::string source,
                             std::uint64_t fetch_number,
                             std::function<void()> on_end) {
  const Clock::TimePoint began = m_clock.Now();
  const std::uint64_t previous = m_config.version();
  std::string failure;
  try {
    co_await FetchOnce(source, fetch_number);
  } catch (const std::exception& error) {
    failure = error.what();
  }
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(m_clock.Now() - began);
  // Another source may have delivered the configuration meanwhile.
  const bool has_failed = !failure.empty() && m_config.version() == previous;
  if (has_failed) {
    spdlog::warn(
        "event=config-fetch-failed source={} have={} took_ms={} "
        "reason=\"{}\"",
        source, previous, elapsed.count(), failure);
  } else {
    spdlog::info("event=config-fetched source={} from={} to={} took_ms={}",
                 source, previous, m_config.version(), elapsed.count());
  }
  if (fetch_number != m_last_fetch_number)
    co_return;
  m_has_failed = has_failed;
  m_is_fetching = false;
  on_end();
}

Task<> ConfigTransfer::FetchOnce(std::string source,
                                 std::uint64_t fetch_number) {
  const HttpAddress address = HttpAddress::Parse(source);
  HttpRequest request;
  request.method = "POST";
  request.target = kPath;
  request.body = ConfigChangeCodec::EncodeRequest(m_config.version());
  auto connection = co_await m_peers.Acquire(address, kMaxConnectionIdle);
  if (fetch_number != m_last_fetch_number)
    throw MalformedMessageError("superseded by a transfer from another source");
  m_connection = connection.get();
  HttpResponse response;
  try {
    response = co_await connection->CallWithProgressTimeout(
        std::move(request), kFirstByteTimeout, kProgressTimeout);
  } catch (...) {
    if (fetch_number == m_last_fetch_number)
      m_connection = nullptr;
    throw;
  }
  if (fetch_number == m_last_fetch_number)
    m_connection = nullptr;
  m_peers.Release(address, std::move(connection));
  if (response.head.status != kOk) {
    throw MalformedMessageError(source + " answered " +
                                std::to_string(response.head.status));
  }
  const LoopMonitor::ScopedTimer timer(m_monitor,
                                       LoopMonitor::Activity::kConfig);
  if (!m_config.ApplyChange(ConfigChangeCodec::Decode(response.body)))
    throw MalformedMessageError(
        "the change starts from a version that this node does not have");
}

HttpResponse ConfigTransfer::HandleRequest(const HttpRequest& request) {
  const std::uint64_t version = ConfigChangeCodec::DecodeRequest(request.body);
  if (m_config.version() <= version)
    return HttpResponse::WithStatus(kNothingNewer);
  const LoopMonitor::ScopedTimer timer(m_monitor,
                                       LoopMonitor::Activity::kConfig);
  if (m_cached_version != m_config.version()) {
    m_cached_responses.clear();
    m_cached_version = m_config.version();
  }
  const std::uint64_t from = m_config.IsInHistory(version) ? version : 0;
  std::string& response = m_cached_responses[from];
  if (response.empty())
    response = ConfigChangeCodec::Encode(m_config.ChangeFrom(from));
  return HttpResponse::WithStatus(kOk, response);
}

}  // namespace citrongrade
