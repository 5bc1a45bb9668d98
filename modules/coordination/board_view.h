#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "modules/coordination/route.h"
#include "modules/state/member_id.h"
#include "modules/state/service_id.h"
#include "modules/state/service_settings.h"
#include "modules/state/slot_table.h"

namespace citrongrade {

// What the coordinator last published: immutable, shared by all readers.
struct BoardView {
  struct Service {
    std::shared_ptr<const ServiceSettings> settings;
    // Null until the first assignment.
    std::shared_ptr<const SlotTable> slots;
    // Without slot and epoch.
    std::vector<Route> members;
  };

  bool ready = false;
  bool draining = false;
  std::optional<MemberId> self;
  // This node's service, and for each of its slots the epoch of the own grant;
  // Epoch() for a slot that it does not own. Read for every request.
  ServiceId own_service;
  std::vector<Epoch> own_epochs;
  // Own slots in which nothing new may start, since they are about to move.
  std::set<SlotIndex> frozen_slots;
  std::map<ServiceId, Service> services;
  std::map<MemberId, Route> routes;
};

}  // namespace citrongrade
