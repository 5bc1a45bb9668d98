#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "modules/coordination/route.h"
#include "modules/state/service_id.h"
#include "modules/state/service_settings.h"

namespace citrongrade {

// Where requests go, read by every request thread. Thread-safe; it may lag the
// log, so the owner checks again (RequestGuard) before it gives work to its
// target.
class RoutingTable {
 public:
  virtual ~RoutingTable() = default;

  // False until the log has been read to its end since this process's start.
  virtual bool IsReady() const = 0;

  // Null for a service that no configuration declares.
  virtual std::shared_ptr<const ServiceSettings> FindService(
      const ServiceId& service) const = 0;

  // Owner of the slot of `slot_key`: the request's key, or for a service that
  // is not divided by key the caller's Idempotency-Key. Nothing while nobody
  // owns the slot.
  virtual std::optional<Route> FindOwner(const ServiceId& service,
                                         std::string_view slot_key) const = 0;

  // All members that announced a target of the service.
  virtual std::vector<Route> FindMembers(const ServiceId& service) const = 0;
};

}  // namespace citrongrade
