#pragma once

#include <string_view>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/records/snapshot_record.h"

namespace citrongrade {

// Cuts an encoded image into records that the log takes. Kin:
// SnapshotAssembler, which joins them.
class SnapshotSplitter {
 public:
  // Throws RecordNotEncodableError when the payload needs more chunks than a
  // reader would join.
  static std::vector<SnapshotRecord> Split(const RecordId& snapshot,
                                           LogOffset taken_at,
                                           std::string_view payload);
};

}  // namespace citrongrade
