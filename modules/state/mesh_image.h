#pragma once

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

#include "modules/state/config_entry.h"
#include "modules/state/member.h"
#include "modules/state/member_id.h"
#include "modules/state/owned_slot_range.h"
#include "modules/state/service_id.h"
#include "modules/state/takeover_history.h"

namespace citrongrade {

// The complete replayed state as plain values: the contents of a snapshot.
struct MeshImage {
  struct Service {
    ServiceId id;
    std::uint32_t slot_count = 0;
    std::uint64_t hash_seed = 0;
    std::vector<std::pair<OwnedSlotRange, Epoch>> runs;

    friend auto operator<=>(const Service&, const Service&) = default;
  };

  LogOffset next_offset;
  std::vector<Member> members;
  std::vector<MemberId> departed;
  std::vector<Service> services;
  std::vector<ConfigEntry> config;
  std::vector<TakeoverHistory> takeovers;

  friend auto operator<=>(const MeshImage&, const MeshImage&) = default;
};

}  // namespace citrongrade
