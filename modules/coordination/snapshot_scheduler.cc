#include "modules/coordination/snapshot_scheduler.h"

#include <algorithm>
#include <string>

#include "modules/coordination/mesh_context.h"
#include "modules/coordination/snapshot_assembler.h"
#include "modules/coordination/snapshot_codec.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

// Enough for the one before to have written and for all to have read it.
constexpr std::chrono::seconds kDelayPerRank{2};
// Turns are counted up to here, so that a snapshot is not put off for long.
constexpr std::size_t kMaxRank = 5;

}  // namespace

SnapshotScheduler::SnapshotScheduler(MeshContext& context,
                                     const SnapshotCodec& codec)
    : m_context(&context), m_codec(&codec) {}

void SnapshotScheduler::OnRecord() {
  ++m_records;
}

void SnapshotScheduler::OnSnapshot(LogOffset taken_at) {
  if (taken_at < m_last_taken_at) {
    return;
  }
  m_last_taken_at = taken_at;
  const std::uint64_t position = m_context->state().next_offset().value();
  m_records = position > taken_at.value() ? position - taken_at.value() : 0;
  m_last_seen = m_context->now();
  m_due_since.reset();
}

void SnapshotScheduler::Tick() {
  const Clock::TimePoint now = m_context->now();
  if (m_context->FindSelf() == nullptr || !m_context->log_available() ||
      IsWriting()) {
    return;
  }
  if (!m_last_seen.has_value()) {
    m_last_seen = now;
  }
  const CoordinatorSettings& settings = m_context->settings();
  const bool is_due = m_records >= settings.records_per_snapshot ||
                      now - *m_last_seen >= settings.snapshot_interval;
  if (!is_due) {
    return;
  }
  if (!m_due_since.has_value()) {
    m_due_since = now;
  }
  if (now - *m_due_since >= Rank() * kDelayPerRank) {
    Write();
  }
}

std::size_t SnapshotScheduler::Rank() const {
  const std::vector<const Member*> members =
      m_context->state().CurrentMembers();
  const auto self = std::find_if(
      members.begin(), members.end(),
      [this](const Member* member) { return member->id == m_context->self(); });
  const auto index = static_cast<std::size_t>(self - members.begin());
  // The first turn goes round with each snapshot.
  const std::size_t first = m_last_taken_at.value() % members.size();
  const std::size_t rank = (index + members.size() - first) % members.size();
  return std::min(rank, kMaxRank);
}

bool SnapshotScheduler::IsWriting() {
  return std::any_of(
      m_chunks.begin(), m_chunks.end(),
      [this](const RecordId& chunk) { return m_context->IsAwaited(chunk); });
}

void SnapshotScheduler::Write() {
  const std::string payload = m_codec->Encode(m_context->state().Image());
  const std::size_t chunk_bytes = m_context->settings().snapshot_chunk_bytes;
  const std::size_t chunk_count = std::max<std::size_t>(
      1, (payload.size() + chunk_bytes - 1) / chunk_bytes);
  SnapshotRecord record;
  record.taken_at = m_context->state().next_offset();
  record.snapshot =
      RecordId(m_context->self()->node.value() + "@" +
               std::to_string(m_context->self()->incarnation.value()) + "@" +
               std::to_string(record.taken_at.value()));
  record.chunk_count = static_cast<std::uint32_t>(chunk_count);
  record.payload_hash = SnapshotAssembler::HashOf(payload);
  m_chunks.clear();
  for (std::size_t i = 0; i < chunk_count; ++i) {
    record.chunk_index = static_cast<std::uint32_t>(i);
    record.payload = payload.substr(i * chunk_bytes, chunk_bytes);
    m_chunks.push_back(m_context->Append(record));
  }
  ++m_written;
}

}  // namespace citrongrade
