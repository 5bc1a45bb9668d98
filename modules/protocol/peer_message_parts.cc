#include "modules/protocol/peer_message_parts.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace citrongrade::peer_parts {

std::uint64_t ToWire(std::chrono::milliseconds duration) {
  return static_cast<std::uint64_t>(
      std::max(duration, std::chrono::milliseconds(0)).count());
}

std::string ToString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

void Encode(const MemberId& id, rpc::MemberId::Builder builder) {
  builder.setNode(id.node.value());
  builder.setIncarnation(id.incarnation.value());
}

MemberId Decode(rpc::MemberId::Reader reader) {
  return {NodeId(ToString(reader.getNode())),
          Incarnation(reader.getIncarnation())};
}

void Encode(const ServiceId& id, rpc::ServiceId::Builder builder) {
  builder.setWorkspace(id.workspace.value());
  builder.setService(id.service.value());
}

ServiceId Decode(rpc::ServiceId::Reader reader) {
  return {WorkspaceName(ToString(reader.getWorkspace())),
          ServiceName(ToString(reader.getService()))};
}

void Encode(const Testimony& testimony, rpc::Testimony::Builder builder) {
  Encode(testimony.witness, builder.initWitness());
  builder.setVersion(testimony.version.value());
  builder.setWithoutMemory(testimony.without_memory);
}

Testimony Decode(rpc::Testimony::Reader reader) {
  return {Decode(reader.getWitness()), WitnessSetVersion(reader.getVersion()),
          reader.getWithoutMemory()};
}

void Encode(const RegisteredId& id, rpc::RegisteredId::Builder builder) {
  builder.setSlot(id.slot.value());
  builder.setIdHigh(id.id.high);
  builder.setIdLow(id.id.low);
  builder.setAgeMs(ToWire(id.age));
  builder.setResendHorizonMs(ToWire(id.resend_horizon));
}

RegisteredId Decode(rpc::RegisteredId::Reader reader) {
  return {SlotIndex(reader.getSlot()),
          {reader.getIdHigh(), reader.getIdLow()},
          std::chrono::milliseconds(reader.getAgeMs()),
          std::chrono::milliseconds(reader.getResendHorizonMs())};
}

void Encode(const ReadyMarker& marker, rpc::ReadyMarker::Builder builder) {
  builder.setSlot(marker.slot.value());
  builder.setEpoch(marker.epoch.value());
}

ReadyMarker Decode(rpc::ReadyMarker::Reader reader) {
  return {SlotIndex(reader.getSlot()), Epoch(reader.getEpoch())};
}

void Encode(const HandedId& id, rpc::HandedId::Builder builder) {
  Encode(id.id, builder.initId());
  if (!id.answer)
    return;
  auto answer = builder.initAnswer();
  answer.setStatus(id.answer->status);
  answer.setContentType(id.answer->content_type);
  const std::string& body = id.answer->body;
  answer.setBody(kj::arrayPtr(reinterpret_cast<const kj::byte*>(body.data()),
                              body.size()));
}

HandedId Decode(rpc::HandedId::Reader reader) {
  HandedId id{Decode(reader.getId()), std::nullopt};
  if (!reader.hasAnswer())
    return id;
  const auto answer = reader.getAnswer();
  const auto body = answer.getBody();
  id.answer = StoredAnswer{
      answer.getStatus(), ToString(answer.getContentType()),
      std::string(reinterpret_cast<const char*>(body.begin()), body.size())};
  return id;
}

}  // namespace citrongrade::peer_parts
