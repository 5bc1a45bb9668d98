#pragma once

#include <cstdint>

#include "modules/state/strong_integer.h"
#include "modules/state/strong_string.h"

namespace citrongrade {

// One attempt of one request at this node. The node assigns it and does not
// reuse it while the attempt waits or runs.
using RequestTicket = StrongInteger<struct RequestTicketTag>;
// xxHash of what distinguishes callers (an address or an account).
using CallerHash = StrongInteger<struct CallerHashTag>;
// xxHash of a request's key, or of its path for a service that isn't sharded by
// key.
using KeyHash = StrongInteger<struct KeyHashTag>;
// xxHash of a request's id, or of its service, key and body.
using RequestFingerprint = StrongInteger<struct RequestFingerprintTag>;
// The address of a target as other nodes know it, "ip:port".
using TargetId = StrongString<struct TargetIdTag>;

}  // namespace citrongrade
