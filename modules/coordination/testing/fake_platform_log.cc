#include "modules/coordination/testing/fake_platform_log.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "modules/coordination/snapshot_assembler.h"
#include "modules/coordination/testing/event_queue.h"
#include "modules/coordination/testing/fake_random.h"

namespace citrongrade {

using std::chrono::microseconds;
using std::chrono::milliseconds;

FakePlatformLog::FakePlatformLog(EventQueue& events, FakeRandom& random)
    : m_events(&events), m_random(&random) {}

void FakePlatformLog::Append(std::size_t node,
                             const RecordId& id,
                             const Record& record,
                             OnFailure on_failure) {
  if (!IsReachable(node)) {
    m_events->Schedule(milliseconds(1), std::move(on_failure));
    return;
  }
  if (m_uncertain && m_random->Chance(30)) {
    // Lost on the way there; the writer never hears.
    return;
  }
  if (m_uncertain && m_random->Chance(40)) {
    // Held up on the way there, also past an outage.
    m_events->Schedule(m_random->Between(milliseconds(100), milliseconds(5000)),
                       [this, id, record] { Land(id, record); });
    return;
  }
  m_events->Schedule(AppendDelay(),
                     [this, id, record, on_failure = std::move(on_failure)] {
                       if (m_outage) {
                         on_failure();
                       } else {
                         Land(id, record);
                       }
                     });
}

Clock::Duration FakePlatformLog::AppendDelay() {
  return m_slow ? m_random->Between(milliseconds(200), milliseconds(2500))
                : m_random->Between(milliseconds(1), milliseconds(5));
}

void FakePlatformLog::Land(const RecordId& id, const Record& record) {
  m_entries.push_back({Next(), id, record});
  m_on_entry(m_entries.back());
}

bool FakePlatformLog::IsReachable(std::size_t node) const {
  return !m_outage && !m_cut.contains(node);
}

LogOffset FakePlatformLog::Next() const {
  return LogOffset(m_entries.size() + 1);
}

std::vector<LogEntry> FakePlatformLog::Read(LogOffset from,
                                            std::size_t max_entries) const {
  // The caller reads records that have passed out of retention.
  assert(from >= m_first);
  const auto begin = static_cast<std::ptrdiff_t>(
      std::min<std::size_t>(from.value() - 1, m_entries.size()));
  const auto end = static_cast<std::ptrdiff_t>(std::min(
      static_cast<std::size_t>(begin) + max_entries, m_entries.size()));
  return {m_entries.begin() + begin, m_entries.begin() + end};
}

void FakePlatformLog::SetCut(std::size_t node, bool cut) {
  if (cut) {
    m_cut.insert(node);
  } else {
    m_cut.erase(node);
  }
}

void FakePlatformLog::PassRetention() {
  SnapshotAssembler assembler;
  for (const LogEntry& entry : m_entries) {
    const auto* chunk = std::get_if<SnapshotRecord>(&entry.record);
    if (chunk == nullptr) {
      continue;
    }
    const auto snapshot = assembler.Add(*chunk);
    if (snapshot.has_value()) {
      m_first = std::max(m_first, snapshot->taken_at);
    }
  }
}

void FakePlatformLog::Heal() {
  m_outage = false;
  m_slow = false;
  m_uncertain = false;
  m_cut.clear();
}

}  // namespace citrongrade
