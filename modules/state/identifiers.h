#pragma once

#include <cstdint>

#include "modules/state/strong_integer.h"
#include "modules/state/strong_string.h"

namespace citrongrade {

// Identity of a node across restarts, from its settings; one for each host.
using NodeId = StrongString<struct NodeIdTag>;
// A customer. The first part of a caller's path.
using WorkspaceName = StrongString<struct WorkspaceNameTag>;
// A service of one workspace, for example "sorteio".
using ServiceName = StrongString<struct ServiceNameTag>;
using TemplateName = StrongString<struct TemplateNameTag>;
using AvailabilityZone = StrongString<struct AvailabilityZoneTag>;
// Unique id of one log record, random, chosen by its writer: tells a writer
// whose answer was lost whether the record took effect.
using RecordId = StrongString<struct RecordIdTag>;

// Position of a record in the platform's log. Offsets only grow.
using LogOffset = StrongInteger<struct LogOffsetTag>;
// The offset of a node's accepted join record: one life of one process.
using Incarnation = StrongInteger<struct IncarnationTag>;
// The offset of the record that gave a slot to its owner: the fencing token.
using Epoch = StrongInteger<struct EpochTag>;
// Index of a slot, 0 to the service's slot count less one.
using SlotIndex = StrongInteger<struct SlotIndexTag, std::uint32_t>;
// Version of one node's witness set; grows with each accepted change.
using WitnessSetVersion = StrongInteger<struct WitnessSetVersionTag>;
// Version of one configuration entry: the offset of its accepted record.
using ConfigVersion = StrongInteger<struct ConfigVersionTag>;

}  // namespace citrongrade
