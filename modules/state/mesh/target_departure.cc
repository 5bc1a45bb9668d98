#include "modules/state/mesh/target_departure.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

std::uint64_t DepartedTarget::HashId(const std::string& target_id) {
  return XXH3_64bits(target_id.data(), target_id.size());
}

DepartedTarget DepartedTarget::From(const TargetIncarnation& target) {
  return {HashId(target.id), target.started_unix_ms};
}

std::uint32_t TargetDeparture::HashNode(const std::string& address) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(address.data(), address.size()));
}

}  // namespace citrongrade
