#pragma once

#include "modules/protocol/mesh.capnp.h"
#include "modules/state/mesh/zone_evacuations.h"

namespace citrongrade {

// Conversion of evacuations, a part of several messages between nodes.
void WriteEvacuations(const ZoneEvacuations& evacuations,
                      rpc::Evacuations::Builder out);
ZoneEvacuations ReadEvacuations(rpc::Evacuations::Reader in);

}  // namespace citrongrade
