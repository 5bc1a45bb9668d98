#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

class MeshContext;
class SnapshotCodec;

// Writes a snapshot of the state to the log whenever one is due, well before
// the log's retention could pass the last one. Members take turns; whoever's
// turn it is may be away, so the next one waits a little and writes it instead.
// Duplicates are harmless.
class SnapshotScheduler {
 public:
  // Both outlive the scheduler.
  SnapshotScheduler(MeshContext& context, const SnapshotCodec& codec);

  // A record other than a snapshot's was applied.
  void OnRecord();
  // A whole snapshot was read.
  void OnSnapshot(LogOffset taken_at);
  void Tick();

  std::uint64_t written() const { return m_written; }

 private:
  std::size_t Rank() const;
  bool IsWriting();
  void Write();

  MeshContext* m_context;
  const SnapshotCodec* m_codec;
  std::uint64_t m_records = 0;
  LogOffset m_last_taken_at;
  std::optional<Clock::TimePoint> m_last_seen;
  std::optional<Clock::TimePoint> m_due_since;
  std::vector<RecordId> m_chunks;
  std::uint64_t m_written = 0;
};

}  // namespace citrongrade
