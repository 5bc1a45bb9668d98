#pragma once

#include <optional>
#include <vector>

#include "modules/coordination/load/target_notice.h"
#include "modules/transport/http_header.h"

namespace citrongrade {

// Between nodes, a TargetNotice travels as the header Mesh-Target, beside a
// forwarded request and beside its result.

// Replaces the header; without a notice, only removes it.
void WriteTargetNotice(const std::optional<TargetNotice>& notice,
                       std::vector<HttpHeader>& headers);
// Removes the header. Empty if there is none, or if it can't be parsed: a
// notice is a hint, without which a request is still served.
std::optional<TargetNotice> TakeTargetNotice(std::vector<HttpHeader>& headers);

}  // namespace citrongrade
