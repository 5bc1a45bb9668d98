#pragma once

#include <cstdint>

#include "modules/state/strong_integer.h"
#include "modules/state/strong_string.h"

namespace citrongrade {

// One attempt of one request at this node; given by the node, never reused
// while the attempt waits or runs.
using RequestTicket = StrongInteger<struct RequestTicketTag>;
// xxHash of whatever tells callers apart (an address or an account).
using CallerHash = StrongInteger<struct CallerHashTag>;
// xxHash of a request's key; of its path for a service not divided by key.
using KeyHash = StrongInteger<struct KeyHashTag>;
// xxHash of a request's id, or of its service, key and body.
using RequestFingerprint = StrongInteger<struct RequestFingerprintTag>;
// A target as others know it, "ip:port".
using TargetId = StrongString<struct TargetIdTag>;

}  // namespace citrongrade
