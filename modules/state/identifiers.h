#pragma once

#include <cstdint>

#include "modules/state/strong_integer.h"
#include "modules/state/strong_string.h"

namespace citrongrade {

// Identity of a node across restarts, taken from its settings; one for each
// host.
using NodeId = StrongString<struct NodeIdTag>;
// The workspace of a customer: the first segment of a caller's path.
using WorkspaceName = StrongString<struct WorkspaceNameTag>;
// A service of one workspace, for example "sorteio".
using ServiceName = StrongString<struct ServiceNameTag>;
using TemplateName = StrongString<struct TemplateNameTag>;
using AvailabilityZone = StrongString<struct AvailabilityZoneTag>;
// Unique random id of a log record, chosen by its writer. A writer that got no
// reply to an append uses it to find out whether the record took effect.
using RecordId = StrongString<struct RecordIdTag>;

// Position of a record in the platform's log. Offsets only increase.
using LogOffset = StrongInteger<struct LogOffsetTag>;
// Offset of a node's accepted join record. Identifies one process of the node.
using Incarnation = StrongInteger<struct IncarnationTag>;
// Offset of the record that assigned a slot to its owner: the fencing token.
using Epoch = StrongInteger<struct EpochTag>;
// Index of a slot, from 0 to the service's slot count minus one.
using SlotIndex = StrongInteger<struct SlotIndexTag, std::uint32_t>;
// Version of one node's witness set. Increases with each accepted change.
using WitnessSetVersion = StrongInteger<struct WitnessSetVersionTag>;
// Version of one configuration entry: the offset of its accepted record.
using ConfigVersion = StrongInteger<struct ConfigVersionTag>;

}  // namespace citrongrade
