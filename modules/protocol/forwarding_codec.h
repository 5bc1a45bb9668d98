#pragma once

#include "modules/protocol/answer_head.h"
#include "modules/protocol/forwarded_request.h"
#include "modules/protocol/forwarding.capnp.h"

namespace citrongrade {

// Requests and answers to and from their Cap'n Proto form. Decoding throws
// UnknownWireValueError.
class ForwardingCodec {
 public:
  static void Encode(const ForwardedRequest& request,
                     rpc::RequestHead::Builder builder);
  static ForwardedRequest Decode(rpc::RequestHead::Reader reader);

  static void Encode(const AnswerHead& answer,
                     rpc::AnswerHead::Builder builder);
  static AnswerHead Decode(rpc::AnswerHead::Reader reader);
};

}  // namespace citrongrade
