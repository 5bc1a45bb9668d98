#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/transport/http_request.h"

namespace citrongrade {

// Asks the node beside a target to reject those of the sender's forwarded
// requests that still wait there. Requests that run are not affected.
//
// Sent to the node's address for forwarded requests as "POST /mesh/withdraw"
// with the JSON body {"sender": NUMBER, "attempts": [ID, ...]}. A node that
// doesn't know it answers with 400.
struct WithdrawalMessage {
  // Id of the forwarding process, as in ForwardMetadata.
  std::uint64_t sender_id = 0;
  std::vector<std::string> request_ids;

  HttpRequest ToHttpRequest() const;
  // Returns false for a forwarded request, even if it has the same path.
  static bool IsIn(const HttpRequest& request);
  // Throws MalformedMessageError.
  static WithdrawalMessage FromHttpRequest(const HttpRequest& request);

  friend auto operator<=>(const WithdrawalMessage&,
                          const WithdrawalMessage&) = default;
};

}  // namespace citrongrade
