#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "modules/coordination/snapshot_assembler.h"
#include "modules/state/apply_result.h"
#include "modules/state/log_entry.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

class ConfigValidator;
class SnapshotCodec;

// Feeds the state with the log's entries. When entries have passed out of
// retention before they were read, it distrusts its state until it has found a
// whole snapshot, goes on from there, and catches up with what it read since.
// Pure but for the observer.
class LogFollower {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void BeforeApply(const LogEntry& entry) = 0;
    virtual void AfterApply(const LogEntry& entry,
                            const ApplyResult& result) = 0;
    // The state was replaced by a snapshot's; state() is another object.
    virtual void OnRestored() = 0;
    // A whole snapshot was read, also while there is no gap.
    virtual void OnSnapshot(LogOffset taken_at) = 0;
  };

  // All outlive the follower.
  LogFollower(const ConfigValidator& validator,
              const SnapshotCodec& codec,
              Observer& observer);

  // In order; those before next_read() are ignored.
  void OnEntries(const std::vector<LogEntry>& entries);
  // Entries before `first_kept` can't be read any more.
  void OnGap(LogOffset first_kept);
  // The log's end at some moment after this process's start.
  void OnEnd(LogOffset next_offset);

  LogOffset next_read() const { return m_next_read; }
  std::optional<LogOffset> awaited_end() const { return m_awaited_end; }
  bool in_gap() const { return m_in_gap; }
  // It has read what stood in the log when this process started.
  bool HasCaughtUp() const;

  const MeshState& state() const { return *m_state; }

 private:
  void Apply(const LogEntry& entry);
  void TakeInGap(const LogEntry& entry);
  void TryRestore(const SnapshotAssembler::Snapshot& snapshot);

  const ConfigValidator* m_validator;
  const SnapshotCodec* m_codec;
  Observer* m_observer;
  std::unique_ptr<MeshState> m_state;
  SnapshotAssembler m_assembler;
  LogOffset m_next_read{1};
  std::optional<LogOffset> m_awaited_end;
  bool m_in_gap = false;
  // What was read since the gap, to be applied after the restore.
  std::vector<LogEntry> m_since_gap;
};

}  // namespace citrongrade
