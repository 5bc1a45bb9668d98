#include "programs/citrongradectl/mesh_reader.h"

#include <chrono>
#include <variant>

#include "modules/coordination/log_errors.h"
#include "modules/coordination/platform_log.h"
#include "programs/citrongradectl/ctl_errors.h"

namespace citrongrade {

namespace {

constexpr std::size_t kEntriesPerRead = 256;

}  // namespace

MeshReader::MeshReader(PlatformLog& log)
    : m_log(&log), m_follower(m_rules, m_codec, *this) {}

void MeshReader::CatchUp() {
  const LogOffset end = m_log->NextOffset();
  m_follower.OnEnd(end);
  while (m_follower.next_read() < end) {
    ReadSome();
  }
  if (m_follower.in_gap()) {
    throw LogPastLostError(
        "the log no longer keeps its first records and holds no snapshot yet; "
        "nodes write one, so try again in a minute");
  }
}

void MeshReader::ReadSome() {
  try {
    m_follower.OnEntries(m_log->Read(m_follower.next_read(), kEntriesPerRead,
                                     std::chrono::milliseconds(0)));
  } catch (const LogRetentionPassedError& error) {
    m_follower.OnGap(error.first_kept());
  }
}

void MeshReader::Watch(const RecordId& id) {
  m_outcomes.try_emplace(id);
}

std::vector<RecordOutcome> MeshReader::FindOutcomes(const RecordId& id) const {
  const auto found = m_outcomes.find(id);
  return found == m_outcomes.end() ? std::vector<RecordOutcome>()
                                   : found->second;
}

void MeshReader::BeforeApply(const LogEntry& /*entry*/) {}

void MeshReader::AfterApply(const LogEntry& entry, const ApplyResult& result) {
  const auto watched = m_outcomes.find(entry.id);
  if (watched != m_outcomes.end()) {
    watched->second.push_back({entry.offset, result});
  }
  const auto* record = std::get_if<ConfigRecord>(&entry.record);
  if (record != nullptr) {
    m_changes.push_back({entry.offset, entry.id, *record, result});
  }
}

void MeshReader::OnRestored() {}

void MeshReader::OnSnapshot(LogOffset /*taken_at*/) {}

}  // namespace citrongrade
