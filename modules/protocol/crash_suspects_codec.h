#pragma once

#include <vector>

#include "modules/protocol/mesh.capnp.h"
#include "modules/state/mesh/crash_suspect.h"

namespace citrongrade {

// Conversion of crash suspects, a part of several messages between nodes and of
// the stored record.
void WriteCrashSuspects(const std::vector<CrashSuspect>& suspects,
                        rpc::CrashSuspects::Builder out);
// Throws MalformedMessageError if the columns contradict each other.
std::vector<CrashSuspect> ReadCrashSuspects(rpc::CrashSuspects::Reader in);

}  // namespace citrongrade
