#include "modules/coordination/log_follower.h"

#include <utility>
#include <variant>

#include "modules/coordination/snapshot_codec.h"

namespace citrongrade {

LogFollower::LogFollower(const ConfigValidator& validator,
                         const SnapshotCodec& codec,
                         Observer& observer)
    : m_validator(&validator),
      m_codec(&codec),
      m_observer(&observer),
      m_state(std::make_unique<MeshState>(validator)) {}

void LogFollower::OnEntries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.offset < m_next_read) {
      continue;
    }
    if (entry.offset > m_next_read) {
      OnGap(entry.offset);
    }
    m_next_read = entry.offset.Next();
    if (m_in_gap) {
      TakeInGap(entry);
    } else {
      Apply(entry);
    }
  }
}

void LogFollower::OnGap(LogOffset first_kept) {
  if (first_kept <= m_next_read) {
    return;
  }
  m_next_read = first_kept;
  m_in_gap = true;
  m_since_gap.clear();
}

void LogFollower::OnEnd(LogOffset next_offset) {
  if (!m_awaited_end.has_value()) {
    m_awaited_end = next_offset;
  }
}

bool LogFollower::HasCaughtUp() const {
  return !m_in_gap && m_awaited_end.has_value() &&
         m_state->next_offset() >= *m_awaited_end;
}

void LogFollower::Apply(const LogEntry& entry) {
  m_observer->BeforeApply(entry);
  const ApplyResult result = m_state->Apply(entry);
  m_observer->AfterApply(entry, result);
  const auto* chunk = std::get_if<SnapshotRecord>(&entry.record);
  if (chunk == nullptr) {
    return;
  }
  const auto snapshot = m_assembler.Add(*chunk);
  if (snapshot.has_value()) {
    m_observer->OnSnapshot(snapshot->taken_at);
  }
}

void LogFollower::TakeInGap(const LogEntry& entry) {
  m_since_gap.push_back(entry);
  const auto* chunk = std::get_if<SnapshotRecord>(&entry.record);
  if (chunk == nullptr) {
    return;
  }
  const auto snapshot = m_assembler.Add(*chunk);
  if (snapshot.has_value()) {
    TryRestore(*snapshot);
  }
}

void LogFollower::TryRestore(const SnapshotAssembler::Snapshot& snapshot) {
  // Records between the snapshot and the first one read are missing.
  const bool reaches_gap_end = snapshot.taken_at >= m_since_gap.front().offset;
  if (!reaches_gap_end) {
    return;
  }
  const std::optional<MeshImage> image = m_codec->Decode(snapshot.payload);
  if (!image.has_value() || image->next_offset != snapshot.taken_at) {
    return;
  }
  m_state = std::make_unique<MeshState>(*m_validator, *image);
  m_in_gap = false;
  m_observer->OnRestored();
  m_observer->OnSnapshot(snapshot.taken_at);
  const std::vector<LogEntry> entries = std::exchange(m_since_gap, {});
  for (const LogEntry& entry : entries) {
    if (entry.offset >= m_state->next_offset()) {
      Apply(entry);
    }
  }
}

}  // namespace citrongrade
