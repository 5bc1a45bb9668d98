#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/departure_reply.h"
#include "modules/coordination/mesh/departure_report.h"
#include "modules/state/mesh/target_departure.h"

namespace citrongrade {

struct TargetIncarnation;

// A node's part in remembering which targets at its address have said that they
// leave. It reports each of them to the leader until it is stored, and learns
// from the leader, or from the stored record, what earlier processes of this
// node have confirmed.
//
// Until it has learned that, any target at the address may have left, and must
// not be sent requests. Thread-confined. See also DepartureLedger.
class DepartureTracker {
 public:
  struct Departure {
    DepartedTarget target;
    // When this process learned of it from the target; empty if an earlier
    // process did, any time ago.
    std::optional<Clock::TimePoint> heard_at;
    bool is_stored = false;

    friend auto operator<=>(const Departure&, const Departure&) = default;
  };

  explicit DepartureTracker(const Clock& clock) : m_clock(clock) {}

  // The target has told this process that it leaves. Of one that has not
  // reported yet, only the id is known.
  void Add(const TargetIncarnation& target);
  // A new process reports under the id of a target that has left.
  void Retract(const std::string& target_id);
  // `stored`: all that is stored for this node's address.
  void OnStored(const std::vector<DepartedTarget>& stored);
  void OnReply(const DepartureReply& reply);

  // Whether it is known what earlier processes of this node have confirmed.
  bool is_loaded() const { return m_is_loaded; }
  bool IsStored(const std::string& target_id) const;
  // Null if the target has not said that it leaves. `is_startup`: the report
  // that names the target is among the first of its process, which may have the
  // id of an earlier one.
  const Departure* Find(const TargetIncarnation& target, bool is_startup) const;

  DepartureReport MakeReport() const;

 private:
  const Clock& m_clock;
  // In the order in which they became known.
  std::vector<Departure> m_departures;
  // Hashes, until the leader no longer names them.
  std::set<std::uint64_t> m_retracted_ids;
  std::uint64_t m_known_version = 0;
  bool m_is_loaded = false;
};

}  // namespace citrongrade
