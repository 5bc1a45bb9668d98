#include "modules/transport/mesh/config_follower.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "modules/transport/mesh/config_decoder.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// Longest wait for a new document in one call. A connection to the store that
// went silent is detected after it; a configuration has to be in force within
// 2 s.
constexpr milliseconds kLongPollTimeout{900};
// Pause after a failed call.
constexpr milliseconds kDelayAfterFailure{250};
// Interval of the check whether the store has to be read.
constexpr milliseconds kIdlePollInterval{100};
// An older answer does not show that the store is reachable now.
constexpr milliseconds kMaxAnswerAge{2500};
// A confirmed configuration has to be in force within 2 s. Readers of the store
// confirm every 0.9 s that nothing is newer, and the other nodes learn of it
// within 0.6 s.
constexpr milliseconds kMaxConfirmationAge{1800};
constexpr milliseconds kMaxAge{std::chrono::minutes(1)};

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
  boost::asio::co_spawn(m_loop, FollowStore(), boost::asio::detached);
}

void ConfigFollower::Activate(RoutingConfig config) {
  const std::uint64_t previous = version();
  const auto added = std::make_shared<const RoutingConfig>(std::move(config));
  if (!m_history.Add(added))
    return;
  m_routes.emplace(*added);
  m_newest_known = std::max(m_newest_known, version());
  spdlog::info("event=config-in-force version={} previous={} routes={}",
               version(), previous, added->routes.size());
  m_listener.OnConfig(*added);
}

void ConfigFollower::OnDocument(const std::string& document) {
  try {
    Activate(m_decoder.Decode(document));
  } catch (const InvalidConfigError& error) {
    spdlog::error("event=config-unreadable kept_version={} reason=\"{}\"",
                  version(), error.what());
  }
}

bool ConfigFollower::ApplyChange(const ConfigChange& change) {
  MergeEvacuations(change.evacuations);
  if (change.to_version <= version())
    return true;
  if (change.from_version != 0 && change.from_version != version())
    return false;
  const RoutingConfig empty;
  Activate(change.ApplyTo(config() ? *config() : empty));
  if (change.store_next)
    m_store_next = change.store_next;
  return true;
}

ConfigChange ConfigFollower::ChangeFrom(std::uint64_t version) const {
  ConfigChange change = m_history.ChangeFrom(version);
  change.store_next = m_store_next;
  change.evacuations = m_evacuations;
  return change;
}

void ConfigFollower::MergeEvacuations(const ZoneEvacuations& evacuations) {
  if (evacuations.position <= m_evacuations.position)
    return;
  const bool has_changed = evacuations.zones != m_evacuations.zones;
  m_evacuations = evacuations;
  if (!has_changed)
    return;
  std::string zones;
  for (const std::string& zone : m_evacuations.zones)
    zones += (zones.empty() ? "" : ",") + zone;
  spdlog::info("event=evacuations-in-force position={} zones=\"{}\"",
               m_evacuations.position, zones);
  m_listener.OnEvacuations(m_evacuations);
}

void ConfigFollower::OnEvacuationChanges(
    const MeshStore::Publications& publications,
    bool is_complete) {
  ZoneEvacuations evacuations;
  if (is_complete) {
    // A zone that is missing here is not evacuated any more.
    evacuations.position = publications.next_position;
    for (const ZoneEvacuations::Change& change : publications.evacuations)
      evacuations.zones.insert(change.zone);
  } else {
    evacuations = m_evacuations;
    for (const ZoneEvacuations::Change& change : publications.evacuations)
      evacuations = evacuations.After(change);
  }
  MergeEvacuations(evacuations);
}

void ConfigFollower::OnVersionReported(std::uint64_t version,
                                       milliseconds age) {
  m_newest_known = std::max(m_newest_known, version);
  const Clock::TimePoint known = m_clock.Now() - age;
  m_last_confirmed_newest =
      std::max(m_last_confirmed_newest.value_or(known), known);
}

milliseconds ConfigFollower::age() const {
  if (!m_last_confirmed_newest)
    return kMaxAge;
  return std::min(kMaxAge, std::chrono::ceil<milliseconds>(
                               m_clock.Now() - *m_last_confirmed_newest));
}

const RouteRule* ConfigFollower::FindRoute(std::string_view host,
                                           std::string_view path) const {
  return m_routes ? m_routes->Find(host, path) : nullptr;
}

bool ConfigFollower::MayBeStale() const {
  return m_newest_known > version() || age() > kMaxConfirmationAge;
}

void ConfigFollower::OnStoreAnswered() {
  if (!std::exchange(m_store_answered, true))
    spdlog::info("event=store-answers");
  m_last_store_answer = m_clock.Now();
}

bool ConfigFollower::is_store_answering() const {
  return m_store_answered &&
         m_clock.Now() - m_last_store_answer < kMaxAnswerAge;
}

Task<> ConfigFollower::ReadOnce(milliseconds wait) {
  MeshStore::Publications stored;
  const bool is_complete = !m_store_next;
  if (m_store_next)
    stored = co_await m_store.AwaitNext(*m_store_next, wait);
  else
    stored = co_await m_store.ReadAll();
  OnStoreAnswered();
  if (stored.is_newest)
    OnVersionReported(0, milliseconds(0));
  OnEvacuationChanges(stored, is_complete);
  if (stored.config)
    OnDocument(*stored.config);
  // Meanwhile a change from another node may have moved the position further
  // on.
  m_store_next = std::max(m_store_next.value_or(0), stored.next_position);
}

void ConfigFollower::ResetStorePosition(const char* reason) {
  spdlog::info("event=store-position-lost next={} reason=\"{}\"",
               m_store_next.value_or(0), reason);
  m_store_next.reset();
}

Task<> ConfigFollower::FollowStore() {
  boost::asio::steady_timer timer(m_loop);
  // The first call returns at once, to find out soon whether the store answers.
  milliseconds wait{0};
  while (true) {
    milliseconds pause{0};
    if (!m_is_wanted()) {
      pause = kIdlePollInterval;
      wait = milliseconds(0);
    } else {
      try {
        co_await ReadOnce(wait);
        wait = kLongPollTimeout;
      } catch (const StoreHistoryTrimmedError& error) {
        ResetStorePosition(error.what());
        pause = kDelayAfterFailure;
      } catch (const StoreMalformedAnswerError& error) {
        // Reading from the same position would return the same bytes.
        ResetStorePosition(error.what());
        pause = kDelayAfterFailure;
      } catch (const StoreError& error) {
        if (std::exchange(m_store_answered, false)) {
          spdlog::warn("event=store-lost next={} reason=\"{}\"",
                       m_store_next.value_or(0), error.what());
        }
        pause = kDelayAfterFailure;
      }
    }
    if (pause == milliseconds(0))
      continue;
    timer.expires_after(pause);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

}  // namespace citrongrade
