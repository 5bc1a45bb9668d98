#pragma once

#include <vector>

#include "modules/transport/http_header.h"

namespace citrongrade {

// Takes off what concerns one connection only: lengths, keep-alive, upgrades.
// What is passed on gets its own.
void RemoveHopByHopHeaders(std::vector<HttpHeader>& headers);

}  // namespace citrongrade
