#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "modules/coordination/clock.h"
#include "modules/state/mesh/route_index.h"
#include "modules/state/mesh/routing_config.h"
#include "modules/transport/async/task.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class ConfigDecoder;
class MeshStore;

// The operators' configuration in force at this node: the newest version that
// came from the store or from another node. Never an older one again.
//
// Reads the store only while told to: the leader and two more nodes do, the
// others hear of it from the leader, and read there what is too long for it to
// send to all. On the event loop.
class ConfigFollower {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnConfig(const RoutingConfig& config) = 0;
  };

  ConfigFollower(boost::asio::io_context& loop,
                 const Clock& clock,
                 MeshStore& store,
                 const ConfigDecoder& decoder,
                 Listener& listener);

  // Whether the store is to be read is asked again before each call to it.
  void Start(std::function<bool()> is_wanted);

  // From another node. What can't be read is logged, and changes nothing.
  void OnDocument(const std::string& document);

  // Nothing until the first one.
  std::shared_ptr<const RoutingConfig> config() const { return m_config; }
  // Nothing where there is none, or no configuration yet. Of config(): it ends
  // with it.
  const RouteRule* FindRoute(std::string_view host,
                             std::string_view path) const;
  const std::string& document() const { return m_document; }
  std::uint64_t version() const { return m_config ? m_config->version : 0; }
  // The store answered lately.
  bool store_answers() const;
  // The last call to it failed, a short while ago.
  bool store_failed() const;

 private:
  Task<> Follow();
  Task<> ReadOnce();

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  MeshStore& m_store;
  const ConfigDecoder& m_decoder;
  Listener& m_listener;
  std::function<bool()> m_is_wanted;
  std::shared_ptr<const RoutingConfig> m_config;
  std::optional<RouteIndex> m_routes;
  std::string m_document;
  // From where the store is followed; none: it has to be read anew.
  bool m_has_position = false;
  std::uint64_t m_next = 0;
  bool m_store_answered = false;
  Clock::TimePoint m_answered_at;
  std::optional<Clock::TimePoint> m_failed_at;
};

}  // namespace citrongrade
