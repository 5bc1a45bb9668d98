#pragma once

#include <compare>
#include <string>

#include "modules/state/identifiers.h"

namespace citrongrade {

// A service of one workspace: what a caller's path "/{workspace}/{service}/"
// names, and what a target announces itself for.
struct ServiceId {
  WorkspaceName workspace;
  ServiceName service;

  // "workspace/service", as in logs, dumps and records.
  std::string ToString() const {
    return workspace.value() + "/" + service.value();
  }

  friend auto operator<=>(const ServiceId&, const ServiceId&) = default;
};

}  // namespace citrongrade
