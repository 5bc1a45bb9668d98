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
  bool ApplyChange(const ConfigChange& change);
  bool IsInHistory(std::uint64_t version) const {
    return m_history.Contains(version);
  }
  // What leads from that version to this node's. Needs a configuration.
  ConfigChange ChangeFrom(std::uint64_t version) const;

  // Another node has that version, and knew `age` ago that none was newer.
  void OnVersionReported(std::uint64_t version, std::chrono::milliseconds age);
  // For so long this node has not known that none is newer.
  std::chrono::milliseconds age() const;
  // A route that is missing here may be in force: this node knows of a newer
  // version than its own, or has not known for too long that there is none.
  bool MayBeStale() const;

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
  // It answered another call of this node: a long document may still be on its
  // way.
  void OnStoreAnswered();
  // The store answered lately.
  bool is_store_answering() const;

 private:
  Task<> FollowStore();
  Task<> ReadOnce(std::chrono::milliseconds wait);
  // The store is read anew.
  void ResetStorePosition(const char* reason);
  void OnDocument(const std::string& document);
  void Activate(RoutingConfig config);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  MeshStore& m_store;
  const ConfigDecoder& m_decoder;
  Listener& m_listener;
  std::function<bool()> m_is_wanted;
  ConfigHistory m_history;
  std::optional<RouteIndex> m_routes;
  std::uint64_t m_newest_known = 0;
  // When it was last known that none is newer; nothing: never yet.
  std::optional<Clock::TimePoint> m_last_confirmed_newest;
  // From where the store is followed; nothing: it has to be read anew. Kept
  // when a call fails: what was read need not be read again.
  std::optional<std::uint64_t> m_store_next;
  bool m_store_answered = false;
  Clock::TimePoint m_last_store_answer;
};

}  // namespace citrongrade
