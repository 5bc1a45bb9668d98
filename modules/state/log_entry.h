#pragma once

#include <variant>

#include "modules/state/identifiers.h"
#include "modules/state/records/assign_record.h"
#include "modules/state/records/config_record.h"
#include "modules/state/records/forget_record.h"
#include "modules/state/records/join_record.h"
#include "modules/state/records/leave_record.h"
#include "modules/state/records/snapshot_record.h"
#include "modules/state/records/takeover_record.h"
#include "modules/state/records/transfer_record.h"
#include "modules/state/records/unreadable_record.h"
#include "modules/state/records/witness_set_confirmed_record.h"
#include "modules/state/records/witness_set_record.h"

namespace citrongrade {

using Record = std::variant<UnreadableRecord,
                            JoinRecord,
                            LeaveRecord,
                            WitnessSetRecord,
                            WitnessSetConfirmedRecord,
                            AssignRecord,
                            TransferRecord,
                            TakeoverRecord,
                            ForgetRecord,
                            ConfigRecord,
                            SnapshotRecord>;

// A record with its offset and id in the log.
struct LogEntry {
  LogOffset offset;
  RecordId id;
  Record record;

  friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
};

}  // namespace citrongrade
