#pragma once

#include <map>
#include <vector>

#include "modules/coordination/log_follower.h"
#include "modules/protocol/config_rules.h"
#include "modules/protocol/json_snapshot_codec.h"
#include "modules/state/identifiers.h"
#include "programs/citrongradectl/config_change.h"
#include "programs/citrongradectl/record_outcome.h"

namespace citrongrade {

class MeshState;
class PlatformLog;

// Replays the log by the same rules as the nodes, so that it knows what is in
// force without asking any of them. For one thread.
class MeshReader final : private LogFollower::Observer {
 public:
  // The log outlives the reader.
  explicit MeshReader(PlatformLog& log);

  // Reads to where the log ended at the moment of the call. Throws
  // LogUnavailableError, LogPastLostError.
  void CatchUp();

  const MeshState& state() const { return m_follower.state(); }
  // Changes since the first record or snapshot that the log still keeps.
  const std::vector<ConfigChange>& changes() const { return m_changes; }

  // Remembers from now on what becomes of records with this id.
  void Watch(const RecordId& id);
  // In order of offset; one record may stand in the log more than once.
  std::vector<RecordOutcome> FindOutcomes(const RecordId& id) const;

 private:
  void BeforeApply(const LogEntry& entry) override;
  void AfterApply(const LogEntry& entry, const ApplyResult& result) override;
  void OnRestored() override;
  void OnSnapshot(LogOffset taken_at) override;

  void ReadSome();

  PlatformLog* m_log;
  ConfigRules m_rules;
  JsonSnapshotCodec m_codec;
  LogFollower m_follower;
  std::vector<ConfigChange> m_changes;
  std::map<RecordId, std::vector<RecordOutcome>> m_outcomes;
};

}  // namespace citrongrade
