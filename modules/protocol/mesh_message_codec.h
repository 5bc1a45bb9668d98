#pragma once

#include <string>
#include <string_view>

#include "modules/coordination/mesh/heartbeat.h"
#include "modules/coordination/mesh/heartbeat_reply.h"
#include "modules/coordination/mesh/vote.h"
#include "modules/state/mesh/mesh_record.h"

namespace citrongrade {

// Messages between the nodes of a mesh, and its record in the store, as packed
// Cap'n Proto. Decoding throws MalformedMessageError.
class MeshMessageCodec {
 public:
  static std::string Encode(const Heartbeat& heartbeat);
  static std::string Encode(const HeartbeatReply& reply);
  static std::string Encode(const VoteRequest& request);
  static std::string Encode(const VoteReply& reply);
  static std::string Encode(const MeshRecord& record);

  static Heartbeat DecodeHeartbeat(std::string_view bytes);
  static HeartbeatReply DecodeHeartbeatReply(std::string_view bytes);
  static VoteRequest DecodeVoteRequest(std::string_view bytes);
  static VoteReply DecodeVoteReply(std::string_view bytes);
  static MeshRecord DecodeRecord(std::string_view bytes);
};

}  // namespace citrongrade
