#include "modules/protocol/peer_message_codec.h"

#include <cstdint>
#include <variant>
#include <vector>

#include "modules/protocol/peer_message_parts.h"
#include "modules/protocol/unknown_wire_value_error.h"

namespace citrongrade {

namespace {

using peer_parts::DecodeList;
using peer_parts::EncodeList;
using peer_parts::ToWire;

using Content = rpc::PeerMessage::Content;

void EncodeSlots(const std::vector<SlotIndex>& slots,
                 capnp::List<std::uint32_t>::Builder builder) {
  for (unsigned i = 0; i < slots.size(); ++i)
    builder.set(i, slots[i].value());
}

std::vector<SlotIndex> DecodeSlots(capnp::List<std::uint32_t>::Reader reader) {
  std::vector<SlotIndex> slots;
  slots.reserve(reader.size());
  for (const std::uint32_t slot : reader)
    slots.emplace_back(slot);
  return slots;
}

unsigned Count(const auto& parts) {
  return static_cast<unsigned>(parts.size());
}

void EncodeContent(const LeaseRequest& message, Content::Builder content) {
  auto builder = content.initLeaseRequest();
  builder.setVersion(message.version.value());
  builder.setSequence(message.sequence);
}

void EncodeContent(const LeaseReply& message, Content::Builder content) {
  auto builder = content.initLeaseReply();
  builder.setVersion(message.version.value());
  builder.setSequence(message.sequence);
  builder.setAnswer(static_cast<std::uint8_t>(message.answer));
}

void EncodeContent(const CloseRequest& message, Content::Builder content) {
  auto builder = content.initCloseRequest();
  peer_parts::Encode(message.holder, builder.initHolder());
  builder.setVersion(message.version.value());
  peer_parts::Encode(message.witness, builder.initWitness());
}

void EncodeContent(const CloseReply& message, Content::Builder content) {
  auto builder = content.initCloseReply();
  peer_parts::Encode(message.holder, builder.initHolder());
  builder.setVersion(message.version.value());
  if (message.testimony)
    peer_parts::Encode(*message.testimony, builder.initTestimony());
  builder.setRetryAfterMs(ToWire(message.retry_after));
}

void EncodeContent(const RegisterIdsRequest& message,
                   Content::Builder content) {
  auto builder = content.initRegisterIdsRequest();
  builder.setSequence(message.sequence);
  peer_parts::Encode(message.service, builder.initService());
  EncodeList(message.ids, builder.initIds(Count(message.ids)));
  EncodeList(message.markers, builder.initMarkers(Count(message.markers)));
}

void EncodeContent(const RegisterIdsReply& message, Content::Builder content) {
  auto builder = content.initRegisterIdsReply();
  builder.setSequence(message.sequence);
  builder.setStored(message.stored);
}

void EncodeContent(const CollectIdsRequest& message, Content::Builder content) {
  auto builder = content.initCollectIdsRequest();
  builder.setCollection(message.collection);
  peer_parts::Encode(message.lost, builder.initLost());
  peer_parts::Encode(message.service, builder.initService());
  builder.setChunkIndex(message.chunk_index);
}

void EncodeContent(const CollectIdsReply& message, Content::Builder content) {
  auto builder = content.initCollectIdsReply();
  builder.setCollection(message.collection);
  peer_parts::Encode(message.lost, builder.initLost());
  builder.setChunkIndex(message.chunk_index);
  builder.setIsLast(message.is_last);
  EncodeList(message.ids, builder.initIds(Count(message.ids)));
  EncodeList(message.markers, builder.initMarkers(Count(message.markers)));
}

void EncodeContent(const HandOffRequest& message, Content::Builder content) {
  auto builder = content.initHandOffRequest();
  builder.setMove(message.move);
  peer_parts::Encode(message.service, builder.initService());
  EncodeSlots(message.slots, builder.initSlots(Count(message.slots)));
  builder.setChunkIndex(message.chunk_index);
  builder.setChunkCount(message.chunk_count);
  EncodeList(message.ids, builder.initIds(Count(message.ids)));
  EncodeSlots(message.ready_slots,
              builder.initReadySlots(Count(message.ready_slots)));
  builder.setHistoryLostForMs(ToWire(message.history_lost_for));
}

void EncodeContent(const HandOffReply& message, Content::Builder content) {
  auto builder = content.initHandOffReply();
  builder.setMove(message.move);
  builder.setChunkIndex(message.chunk_index);
  builder.setAccepted(message.accepted);
}

void EncodeContent(const DrainNotice& /*message*/, Content::Builder content) {
  content.initDrainNotice();
}

void EncodeContent(const LapseNotice& message, Content::Builder content) {
  peer_parts::Encode(message.holder, content.initLapseNotice().initHolder());
}

LeaseReply DecodeContent(rpc::LeaseReply::Reader reader) {
  constexpr auto kLast =
      static_cast<std::uint8_t>(LeaseReply::Answer::kWithheld);
  if (reader.getAnswer() > kLast)
    throw UnknownWireValueError("answer to a lease request");
  return {WitnessSetVersion(reader.getVersion()), reader.getSequence(),
          static_cast<LeaseReply::Answer>(reader.getAnswer())};
}

CloseReply DecodeContent(rpc::CloseReply::Reader reader) {
  CloseReply reply;
  reply.holder = peer_parts::Decode(reader.getHolder());
  reply.version = WitnessSetVersion(reader.getVersion());
  if (reader.hasTestimony())
    reply.testimony = peer_parts::Decode(reader.getTestimony());
  reply.retry_after = std::chrono::milliseconds(reader.getRetryAfterMs());
  return reply;
}

RegisterIdsRequest DecodeContent(rpc::RegisterIdsRequest::Reader reader) {
  return {reader.getSequence(), peer_parts::Decode(reader.getService()),
          DecodeList<RegisteredId>(reader.getIds()),
          DecodeList<ReadyMarker>(reader.getMarkers())};
}

CollectIdsReply DecodeContent(rpc::CollectIdsReply::Reader reader) {
  return {reader.getCollection(),
          peer_parts::Decode(reader.getLost()),
          reader.getChunkIndex(),
          reader.getIsLast(),
          DecodeList<RegisteredId>(reader.getIds()),
          DecodeList<ReadyMarker>(reader.getMarkers())};
}

HandOffRequest DecodeContent(rpc::HandOffRequest::Reader reader) {
  HandOffRequest request;
  request.move = reader.getMove();
  request.service = peer_parts::Decode(reader.getService());
  request.slots = DecodeSlots(reader.getSlots());
  request.chunk_index = reader.getChunkIndex();
  request.chunk_count = reader.getChunkCount();
  request.ids = DecodeList<HandedId>(reader.getIds());
  request.ready_slots = DecodeSlots(reader.getReadySlots());
  request.history_lost_for =
      std::chrono::milliseconds(reader.getHistoryLostForMs());
  return request;
}

PeerMessage::Content DecodeContent(Content::Reader content) {
  switch (content.which()) {
    case Content::LEASE_REQUEST: {
      const auto reader = content.getLeaseRequest();
      return LeaseRequest{WitnessSetVersion(reader.getVersion()),
                          reader.getSequence()};
    }
    case Content::LEASE_REPLY:
      return DecodeContent(content.getLeaseReply());
    case Content::CLOSE_REQUEST: {
      const auto reader = content.getCloseRequest();
      return CloseRequest{peer_parts::Decode(reader.getHolder()),
                          WitnessSetVersion(reader.getVersion()),
                          peer_parts::Decode(reader.getWitness())};
    }
    case Content::CLOSE_REPLY:
      return DecodeContent(content.getCloseReply());
    case Content::REGISTER_IDS_REQUEST:
      return DecodeContent(content.getRegisterIdsRequest());
    case Content::REGISTER_IDS_REPLY: {
      const auto reader = content.getRegisterIdsReply();
      return RegisterIdsReply{reader.getSequence(), reader.getStored()};
    }
    case Content::COLLECT_IDS_REQUEST: {
      const auto reader = content.getCollectIdsRequest();
      return CollectIdsRequest{
          reader.getCollection(), peer_parts::Decode(reader.getLost()),
          peer_parts::Decode(reader.getService()), reader.getChunkIndex()};
    }
    case Content::COLLECT_IDS_REPLY:
      return DecodeContent(content.getCollectIdsReply());
    case Content::HAND_OFF_REQUEST:
      return DecodeContent(content.getHandOffRequest());
    case Content::HAND_OFF_REPLY: {
      const auto reader = content.getHandOffReply();
      return HandOffReply{reader.getMove(), reader.getChunkIndex(),
                          reader.getAccepted()};
    }
    case Content::DRAIN_NOTICE:
      return DrainNotice{};
    case Content::LAPSE_NOTICE:
      return LapseNotice{
          peer_parts::Decode(content.getLapseNotice().getHolder())};
  }
  throw UnknownWireValueError("kind of a message between coordinators");
}

}  // namespace

void PeerMessageCodec::Encode(const PeerMessage& message,
                              rpc::PeerMessage::Builder builder) {
  peer_parts::Encode(message.sender, builder.initSender());
  peer_parts::Encode(message.receiver, builder.initReceiver());
  std::visit(
      [&builder](const auto& content) {
        EncodeContent(content, builder.getContent());
      },
      message.content);
}

PeerMessage PeerMessageCodec::Decode(rpc::PeerMessage::Reader reader) {
  return {peer_parts::Decode(reader.getSender()),
          peer_parts::Decode(reader.getReceiver()),
          DecodeContent(reader.getContent())};
}

}  // namespace citrongrade
