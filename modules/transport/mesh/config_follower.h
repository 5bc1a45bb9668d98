#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "modules/coordination/clock.h"
#include "modules/state/mesh/config_history.h"
#include "modules/state/mesh/route_index.h"
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
// Reads the store only while told to: the leader and two more nodes do, and
// whoever hears from no leader or got nothing from the source that was named.
// All others get the difference to what they have from a node that has it: see
// ConfigTransfer. On the event loop.
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

  // From another node. False if it leads from another version than this node
  // has; one that brings nothing new is dropped.
  bool OnChange(const ConfigChange& change);
  bool IsKept(std::uint64_t version) const { return m_history.IsKept(version); }
  // What leads from that version to this node's. Needs a configuration.
  ConfigChange ChangeFrom(std::uint64_t version) const;

  // Some node has that version.
  void OnNewerVersion(std::uint64_t version);
  // A route that is missing here may be in force elsewhere: this node knows of
  // a newer version than its own, or has heard of none for a while.
  bool MayBeBehind() const;

  // Nothing until the first one.
  const std::shared_ptr<const RoutingConfig>& config() const {
    return m_history.newest();
  }
  std::uint64_t version() const { return m_history.version(); }
  // Nothing where there is none, or no configuration yet. Of config(): it ends
  // with it.
  const RouteRule* FindRoute(std::string_view host,
                             std::string_view path) const;
  // The newest version that this node has heard of.
  std::uint64_t newest_known() const { return m_newest_known; }
  // The store answered lately.
  bool store_answers() const;

 private:
  Task<> Follow();
  Task<> ReadOnce();
  void OnDocument(const std::string& document);
  void PutInForce(RoutingConfig config);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  MeshStore& m_store;
  const ConfigDecoder& m_decoder;
  Listener& m_listener;
  std::function<bool()> m_is_wanted;
  ConfigHistory m_history;
  std::optional<RouteIndex> m_routes;
  std::uint64_t m_newest_known = 0;
  Clock::TimePoint m_heard_at;
  // From where the store is followed; nothing: it has to be read anew. Kept
  // when a call fails: what was read need not be read again.
  std::optional<std::uint64_t> m_store_next;
  bool m_store_answered = false;
  Clock::TimePoint m_answered_at;
};

}  // namespace citrongrade
