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
#include "modules/state/mesh/zone_evacuations.h"
#include "modules/transport/async/task.h"
#include "modules/transport/mesh/mesh_store.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class ConfigDecoder;

// Keeps what operators have published and what is in force at this node: the
// newest version of the configuration received from the store or from another
// node, and the zones that are evacuated. Neither ever goes back to an older
// state.
//
// The store is read only while `is_wanted` says so: by the leader and two more
// nodes, and by any node that hears from no leader or got nothing from its
// assigned source. All others fetch the difference to their version from a node
// that has the newest one; see ConfigTransfer. Evacuations travel with every
// heartbeat and its reply. Runs on the event loop.
class ConfigFollower {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnConfig(const RoutingConfig& config) = 0;
    virtual void OnEvacuations(const ZoneEvacuations& evacuations) = 0;
  };

  ConfigFollower(boost::asio::io_context& loop,
                 const Clock& clock,
                 MeshStore& store,
                 const ConfigDecoder& decoder,
                 Listener& listener);

  // `is_wanted` is called before each call to the store and returns whether to
  // read it.
  void Start(std::function<bool()> is_wanted);

  // Applies a change received from another node. Returns false if it starts
  // from a version other than this node's; a change that is not newer is
  // ignored.
  bool ApplyChange(const ConfigChange& change);
  bool IsInHistory(std::uint64_t version) const {
    return m_history.Contains(version);
  }
  // Returns the change from `version` to this node's version. Requires a
  // configuration.
  ConfigChange ChangeFrom(std::uint64_t version) const;

  // Takes the evacuations that another node knows of, if they are newer.
  void MergeEvacuations(const ZoneEvacuations& evacuations);
  const ZoneEvacuations& evacuations() const { return m_evacuations; }

  // Another node has `version`, and knew `age` ago that it was the newest.
  // Version 0 and age 0 if the store has just shown that nothing is newer.
  void OnVersionReported(std::uint64_t version, std::chrono::milliseconds age);
  // Time since this node last knew that no newer version exists.
  std::chrono::milliseconds age() const;
  // A route missing here may be in force elsewhere: this node knows of a newer
  // version than its own, or its knowledge that there is none is too old.
  bool MayBeStale() const;

  // Null until the first configuration.
  const std::shared_ptr<const RoutingConfig>& config() const {
    return m_history.newest();
  }
  std::uint64_t version() const { return m_history.version(); }
  // Null if there is no such route or no configuration yet. The route is part
  // of config() and is valid as long as that is.
  const RouteRule* FindRoute(std::string_view host,
                             std::string_view path) const;
  // The newest version that any node has reported to this one.
  std::uint64_t newest_known() const { return m_newest_known; }
  // The store answered another call of this node; a long document may still be
  // in transit.
  void OnStoreAnswered();
  // The store answered recently.
  bool is_store_answering() const;

 private:
  Task<> FollowStore();
  Task<> ReadOnce(std::chrono::milliseconds wait);
  // Makes the next read fetch the whole document again.
  void ResetStorePosition(const char* reason);
  void OnDocument(const std::string& document);
  void OnEvacuationChanges(const MeshStore::Publications& publications,
                           bool is_complete);
  void Activate(RoutingConfig config);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  MeshStore& m_store;
  const ConfigDecoder& m_decoder;
  Listener& m_listener;
  std::function<bool()> m_is_wanted;
  ConfigHistory m_history;
  ZoneEvacuations m_evacuations;
  std::optional<RouteIndex> m_routes;
  std::uint64_t m_newest_known = 0;
  // When this node last knew that no newer version exists; nothing: never.
  std::optional<Clock::TimePoint> m_last_confirmed_newest;
  // Position from which to follow the store; nothing: read the whole document.
  // Kept when a call fails, so that nothing is read twice.
  std::optional<std::uint64_t> m_store_next;
  bool m_store_answered = false;
  Clock::TimePoint m_last_store_answer;
};

}  // namespace citrongrade
