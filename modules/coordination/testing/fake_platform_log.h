#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/state/log_entry.h"

namespace citrongrade {

class EventQueue;
class FakeRandom;

// The platform's log in virtual time: appends take a moment, readers are told.
// Faults: outage, slowness, answers lost before or after the effect, records
// that land late, retention, single nodes cut off from it.
class FakePlatformLog {
 public:
  using OnEntry = std::function<void(const LogEntry&)>;
  using OnFailure = std::function<void()>;

  // Both outlive the log.
  FakePlatformLog(EventQueue& events, FakeRandom& random);

  // `on_failure`: nothing was and will be appended. Success is not told.
  void Append(std::size_t node,
              const RecordId& id,
              const Record& record,
              OnFailure on_failure);
  void SetOnEntry(OnEntry on_entry) { m_on_entry = std::move(on_entry); }

  bool IsReachable(std::size_t node) const;
  LogOffset First() const { return m_first; }
  LogOffset Next() const;
  // At most `max_entries` from `from` on; asserts that they are kept.
  std::vector<LogEntry> Read(LogOffset from, std::size_t max_entries) const;

  void SetOutage(bool outage) { m_outage = outage; }
  void SetSlow(bool slow) { m_slow = slow; }
  void SetUncertain(bool uncertain) { m_uncertain = uncertain; }
  void SetCut(std::size_t node, bool cut);
  // Drops all records before the last whole snapshot's position.
  void PassRetention();
  void Heal();

 private:
  void Land(const RecordId& id, const Record& record);
  Clock::Duration AppendDelay();

  EventQueue* m_events;
  FakeRandom* m_random;
  OnEntry m_on_entry;
  std::vector<LogEntry> m_entries;
  LogOffset m_first{1};
  bool m_outage = false;
  bool m_slow = false;
  bool m_uncertain = false;
  std::set<std::size_t> m_cut;
};

}  // namespace citrongrade
