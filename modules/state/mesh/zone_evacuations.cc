#include "modules/state/mesh/zone_evacuations.h"

namespace citrongrade {

ZoneEvacuations ZoneEvacuations::After(const Change& change) const {
  if (change.position <= position)
    return *this;
  ZoneEvacuations after = *this;
  after.position = change.position;
  if (change.is_evacuated)
    after.zones.insert(change.zone);
  else
    after.zones.erase(change.zone);
  return after;
}

}  // namespace citrongrade
