#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "modules/coordination/messages/handed_id.h"
#include "modules/coordination/messages/ready_marker.h"
#include "modules/coordination/messages/registered_id.h"
#include "modules/protocol/peer.capnp.h"
#include "modules/state/member_id.h"
#include "modules/state/records/testimony.h"
#include "modules/state/service_id.h"

// What several messages between coordinators are made of, to and from its Cap'n
// Proto form. For PeerMessageCodec only.
namespace citrongrade::peer_parts {

void Encode(const MemberId& id, rpc::MemberId::Builder builder);
MemberId Decode(rpc::MemberId::Reader reader);

void Encode(const ServiceId& id, rpc::ServiceId::Builder builder);
ServiceId Decode(rpc::ServiceId::Reader reader);

void Encode(const Testimony& testimony, rpc::Testimony::Builder builder);
Testimony Decode(rpc::Testimony::Reader reader);

void Encode(const RegisteredId& id, rpc::RegisteredId::Builder builder);
RegisteredId Decode(rpc::RegisteredId::Reader reader);

void Encode(const ReadyMarker& marker, rpc::ReadyMarker::Builder builder);
ReadyMarker Decode(rpc::ReadyMarker::Reader reader);

void Encode(const HandedId& id, rpc::HandedId::Builder builder);
HandedId Decode(rpc::HandedId::Reader reader);

template <typename Part, typename ListBuilder>
void EncodeList(const std::vector<Part>& parts, ListBuilder builder) {
  for (unsigned i = 0; i < parts.size(); ++i)
    Encode(parts[i], builder[i]);
}

template <typename Part, typename ListReader>
std::vector<Part> DecodeList(ListReader reader) {
  std::vector<Part> parts;
  parts.reserve(reader.size());
  for (const auto part : reader)
    parts.push_back(Decode(part));
  return parts;
}

std::uint64_t ToWire(std::chrono::milliseconds duration);
std::string ToString(capnp::Text::Reader text);

}  // namespace citrongrade::peer_parts
