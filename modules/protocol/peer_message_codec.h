#pragma once

#include "modules/coordination/messages/peer_message.h"
#include "modules/protocol/peer.capnp.h"

namespace citrongrade {

// Messages between coordinators to and from their Cap'n Proto form. Decoding
// throws UnknownWireValueError; such a message is dropped, as a lost one is.
class PeerMessageCodec {
 public:
  static void Encode(const PeerMessage& message,
                     rpc::PeerMessage::Builder builder);
  static PeerMessage Decode(rpc::PeerMessage::Reader reader);
};

}  // namespace citrongrade
