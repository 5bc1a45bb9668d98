#pragma once

#include <compare>
#include <string>

#include "modules/state/identifiers.h"

namespace citrongrade {

// A service of a workspace, as named in a caller's path
// "/{workspace}/{service}/" and in a target's announcement.
struct ServiceId {
  WorkspaceName workspace;
  ServiceName service;

  // "workspace/service", the form used in logs, dumps and records.
  std::string ToString() const {
    return workspace.value() + "/" + service.value();
  }

  friend auto operator<=>(const ServiceId&, const ServiceId&) = default;
};

}  // namespace citrongrade
