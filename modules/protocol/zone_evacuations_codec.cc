#include "modules/protocol/zone_evacuations_codec.h"

#include <string>

namespace citrongrade {

void WriteEvacuations(const ZoneEvacuations& evacuations,
                      rpc::Evacuations::Builder out) {
  out.setPosition(evacuations.position);
  auto zones = out.initZones(static_cast<unsigned>(evacuations.zones.size()));
  unsigned next = 0;
  for (const std::string& zone : evacuations.zones)
    zones.set(next++, zone);
}

ZoneEvacuations ReadEvacuations(rpc::Evacuations::Reader in) {
  ZoneEvacuations evacuations;
  evacuations.position = in.getPosition();
  for (const auto zone : in.getZones())
    evacuations.zones.insert(std::string(zone));
  return evacuations;
}

}  // namespace citrongrade
