#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/poison_detector.h"
#include "modules/coordination/mesh/crash_report_reply.h"
#include "modules/state/mesh/crash_suspect.h"

namespace citrongrade {

struct Heartbeat;

// The leader's part in sharing what is known of requests that crash targets.
// It combines what all nodes report and passes it on to each node.
//
// What it knows is kept in the stored record, as it must outlive every process
// of the mesh: a request that crashes each target is resent whatever happens to
// the nodes. A report is acknowledged once it is stored.
//
// Usage: create it with what the claimed record contains. Pass it every
// heartbeat; while NeedsStore(), store what BeginStore() returns and call
// OnStored() when that has taken effect. Not thread-safe. See also
// CrashReporter, the nodes' part, and PoisonDetector, which decides.
class CrashLedger {
 public:
  CrashLedger(const Clock& clock, const std::vector<CrashSuspect>& stored);

  void OnHeartbeat(const Heartbeat& heartbeat);
  // `is_own_version`: the version that the heartbeat names is one of this
  // ledger, not of an earlier leader's.
  CrashReportReply MakeReply(const Heartbeat& heartbeat,
                             bool is_own_version) const;

  bool NeedsStore() const;
  // Returns what to store. OnStored() then refers to it.
  std::vector<CrashSuspect> BeginStore();
  void OnStored();

  // Suspects that this ledger has evicted for lack of memory. They count as
  // stored for the nodes that reported them.
  std::uint64_t evicted_count() const { return m_detector.evicted_count(); }

 private:
  void Merge(const std::vector<CrashSuspect>& reported);

  // Reports up to `reported` are part of version `ledger` of this ledger.
  struct Received {
    std::uint64_t reported = 0;
    std::uint64_t ledger = 0;
  };

  struct Node {
    std::uint64_t incarnation = 0;
    std::uint64_t received = 0;
    std::uint64_t stored = 0;
    std::deque<Received> unstored;
  };

  const Clock& m_clock;
  PoisonDetector m_detector;
  std::map<std::string, Node> m_nodes;
  std::uint64_t m_pending_version = 0;
  std::uint64_t m_stored_version = 0;
  Clock::TimePoint m_store_began;
};

}  // namespace citrongrade
