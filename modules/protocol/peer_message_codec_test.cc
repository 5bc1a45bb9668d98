#include "modules/protocol/peer_message_codec.h"

#include <capnp/message.h>
#include <doctest/doctest.h>

#include <vector>

#include "modules/protocol/unknown_wire_value_error.h"

namespace citrongrade {

namespace {

const MemberId kFirst{NodeId("node-1"), Incarnation(4)};
const MemberId kSecond{NodeId("node-2"), Incarnation(9)};
const ServiceId kService{WorkspaceName("port"), ServiceName("berth-board")};
const RegisteredId kId{SlotIndex(3), RequestIdHash{1, 2},
                       std::chrono::milliseconds(5),
                       std::chrono::milliseconds(60'000)};
const ReadyMarker kMarker{SlotIndex(3), Epoch(8)};

std::vector<PeerMessage::Content> AllContents() {
  const Testimony testimony{kSecond, WitnessSetVersion(7), true};
  const HandedId handed{kId, StoredAnswer{200, "text/plain", "locked"}};
  return {
      LeaseRequest{WitnessSetVersion(7), 11},
      LeaseReply{WitnessSetVersion(7), 11, LeaseReply::Answer::kClosed},
      CloseRequest{kFirst, WitnessSetVersion(7), kSecond},
      CloseReply{kFirst, WitnessSetVersion(7), testimony, {}},
      CloseReply{kFirst, WitnessSetVersion(7), std::nullopt,
                 std::chrono::milliseconds(40)},
      RegisterIdsRequest{2, kService, {kId, kId}, {kMarker}},
      RegisterIdsReply{2, true},
      CollectIdsRequest{5, kFirst, kService, 1},
      CollectIdsReply{5, kFirst, 1, true, {kId}, {kMarker}},
      HandOffRequest{6,
                     kService,
                     {SlotIndex(3), SlotIndex(4)},
                     0,
                     2,
                     {handed, HandedId{kId, std::nullopt}},
                     {SlotIndex(4)},
                     std::chrono::milliseconds(50)},
      HandOffReply{6, 0, true},
      DrainNotice{},
      LapseNotice{kFirst},
  };
}

}  // namespace

TEST_CASE("each message between coordinators comes back as it was encoded") {
  for (const PeerMessage::Content& content : AllContents()) {
    CAPTURE(content.index());
    const PeerMessage message{kFirst, kSecond, content};
    capnp::MallocMessageBuilder buffer;
    auto builder = buffer.initRoot<rpc::PeerMessage>();
    PeerMessageCodec::Encode(message, builder);
    CHECK(PeerMessageCodec::Decode(builder.asReader()) == message);
  }
}

TEST_CASE("an answer to a lease request that is not known is refused") {
  // Read as "granted", it would give a lease that no witness granted.
  capnp::MallocMessageBuilder buffer;
  auto builder = buffer.initRoot<rpc::PeerMessage>();
  builder.getContent().initLeaseReply().setAnswer(7);
  CHECK_THROWS_AS(PeerMessageCodec::Decode(builder.asReader()),
                  UnknownWireValueError);
}

}  // namespace citrongrade
