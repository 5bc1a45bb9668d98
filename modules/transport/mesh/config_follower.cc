#include "modules/transport/mesh/config_follower.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "modules/transport/mesh/config_decoder.h"
#include "modules/transport/mesh/mesh_store.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// One wait for a new document. A connection to the store that went silent is
// found after it; configuration has to be in force within 2 s.
constexpr milliseconds kWait{900};
// After a call that failed.
constexpr milliseconds kPauseAfterFailure{250};
// How soon it is noticed that the store is to be followed.
constexpr milliseconds kIdlePause{100};
// An answer that is older says nothing of the store's present state.
constexpr milliseconds kAnswerCounts{2500};

}  // namespace

ConfigFollower::ConfigFollower(boost::asio::io_context& loop,
                               const Clock& clock,
                               MeshStore& store,
                               const ConfigDecoder& decoder,
                               Listener& listener)
    : m_loop(loop),
      m_clock(clock),
      m_store(store),
      m_decoder(decoder),
      m_listener(listener) {}

void ConfigFollower::Start(std::function<bool()> is_wanted) {
  m_is_wanted = std::move(is_wanted);
  boost::asio::co_spawn(m_loop, Follow(), boost::asio::detached);
}

void ConfigFollower::OnDocument(const std::string& document) {
  if (document == m_document)
    return;
  try {
    RoutingConfig config = m_decoder.Decode(document);
    if (m_config && config.version <= m_config->version)
      return;
    spdlog::info("event=config-in-force version={} previous={} routes={}",
                 config.version, version(), config.routes.size());
    m_config = std::make_shared<const RoutingConfig>(std::move(config));
    m_routes.emplace(*m_config);
    m_document = document;
    m_listener.OnConfig(*m_config);
  } catch (const InvalidConfigError& error) {
    spdlog::error("event=config-unreadable kept_version={} reason=\"{}\"",
                  version(), error.what());
  }
}

const RouteRule* ConfigFollower::FindRoute(std::string_view host,
                                           std::string_view path) const {
  return m_routes ? m_routes->Find(host, path) : nullptr;
}

bool ConfigFollower::store_answers() const {
  return m_store_answered && m_clock.Now() - m_answered_at < kAnswerCounts;
}

bool ConfigFollower::store_failed() const {
  return m_failed_at && m_clock.Now() - *m_failed_at < kAnswerCounts;
}

Task<> ConfigFollower::ReadOnce() {
  MeshStore::ConfigDocument read;
  if (m_has_position)
    read = co_await m_store.AwaitConfig(m_next, kWait);
  else
    read = co_await m_store.ReadConfig();
  m_next = read.next;
  m_has_position = true;
  if (!std::exchange(m_store_answered, true))
    spdlog::info("event=store-answers");
  m_answered_at = m_clock.Now();
  m_failed_at.reset();
  if (read.bytes)
    OnDocument(*read.bytes);
}

Task<> ConfigFollower::Follow() {
  boost::asio::steady_timer timer(m_loop);
  while (true) {
    milliseconds pause{0};
    if (!m_is_wanted()) {
      pause = kIdlePause;
      m_has_position = false;
    } else {
      try {
        co_await ReadOnce();
      } catch (const StoreError& error) {
        if (std::exchange(m_store_answered, false)) {
          spdlog::warn("event=store-lost reason=\"{}\"", error.what());
        }
        m_has_position = false;
        m_failed_at = m_clock.Now();
        pause = kPauseAfterFailure;
      }
    }
    if (pause == milliseconds(0))
      continue;
    timer.expires_after(pause);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

}  // namespace citrongrade
