#pragma once

#include <vector>

#include "modules/transport/http_header.h"

namespace citrongrade {

// Removes the headers that concern a single connection: lengths, keep-alive,
// upgrades. A forwarded message gets its own.
void RemoveHopByHopHeaders(std::vector<HttpHeader>& headers);

}  // namespace citrongrade
