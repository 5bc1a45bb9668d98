#include "modules/protocol/mesh_image_codec.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "modules/protocol/malformed_json_error.h"
#include "modules/protocol/snapshot_assembler.h"
#include "modules/protocol/snapshot_splitter.h"
#include "modules/state/size_limits.h"

namespace citrongrade {

namespace {

const ServiceId kSorteio{WorkspaceName("w"), ServiceName("sorteio")};
const MemberId kFirst{NodeId("node-1"), Incarnation(7)};
const MemberId kSecond{NodeId("nó-2"), Incarnation(9)};

Member MakeMember(const MemberId& id) {
  Member member;
  member.id = id;
  member.announcement.node = id.node;
  member.announcement.service = kSorteio;
  member.announcement.peer_address = "127.0.0.1:4";
  return member;
}

MeshImage MakeImage() {
  MeshImage image;
  image.next_offset = LogOffset(100);
  const WitnessSet set{WitnessSetVersion(11), {{kSecond, "boot", "addr"}}};
  Member first = MakeMember(kFirst);
  first.witnesses = set;
  first.pending_witnesses = WitnessSet{WitnessSetVersion(30), set.witnesses};
  image.members = {first, MakeMember(kSecond)};
  image.departed = {{NodeId("node-3"), Incarnation(2)}};
  image.services = {{kSorteio,
                     16,
                     5,
                     {{{SlotIndex(0), 2, kFirst}, Epoch(20)},
                      {{SlotIndex(2), 1, kSecond}, Epoch(20)},
                      {{SlotIndex(3), 1, kFirst}, Epoch(20)},
                      {{SlotIndex(4), 2, kFirst}, Epoch(25)},
                      {{SlotIndex(15), 1, kSecond}, Epoch(20)}}}};
  image.config = {{ConfigKind::kTemplate, "t", ConfigVersion(3), "{}", "ana"}};
  image.takeovers = {{Epoch(25), kFirst, kSorteio, {set}}};
  return image;
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("an image is read as it was written, from text cut at any byte") {
  const std::string text = MeshImageCodec::Encode(MakeImage());
  CHECK(MeshImageCodec::Decode(text) == MakeImage());
  for (const char byte : text) {
    CHECK(static_cast<unsigned char>(byte) < 0x80);
  }
}

TEST_CASE("an image with slots that don't exist or stand twice is refused") {
  // The table is made of it without another check. A slot beyond the end would
  // be written outside the table; a slot given twice would have the owner that
  // happens to stand last.
  const std::string text = MeshImageCodec::Encode(MakeImage());
  CHECK_THROWS_AS(
      MeshImageCodec::Decode(Replace(text, "[2,1,12,1]", "[2,1,12,2]")),
      MalformedJsonError);
  CHECK_THROWS_AS(
      MeshImageCodec::Decode(Replace(text, "[2,1,12,1]", "[1,1,13,1]")),
      MalformedJsonError);
}

TEST_CASE("chunks give the payload in any order, with two snapshots mixed") {
  const std::string payload(SizeLimits::kMaxSnapshotChunkBytes * 2 + 5, 'x');
  const auto first =
      SnapshotSplitter::Split(RecordId("a"), LogOffset(9), payload);
  const auto second =
      SnapshotSplitter::Split(RecordId("b"), LogOffset(9), "small");
  REQUIRE(first.size() == 3);
  SnapshotAssembler assembler;
  CHECK_FALSE(assembler.Add(first[2]).has_value());
  CHECK(assembler.Add(second[0]) == "small");
  CHECK_FALSE(assembler.Add(first[0]).has_value());
  CHECK_FALSE(assembler.Add(first[0]).has_value());
  CHECK(assembler.Add(first[1]) == payload);
}

TEST_CASE("a damaged chunk never gives a payload") {
  const std::string payload(SizeLimits::kMaxSnapshotChunkBytes + 5, 'x');
  auto records = SnapshotSplitter::Split(RecordId("a"), LogOffset(9), payload);
  records[1].payload[0] = 'y';
  SnapshotAssembler assembler;
  CHECK_FALSE(assembler.Add(records[0]).has_value());
  CHECK_FALSE(assembler.Add(records[1]).has_value());
}

TEST_CASE("unfinished snapshots don't pile up") {
  // Writers die in the midst of their snapshots again and again. Each leaves a
  // first chunk; what they left must not stay in memory for ever.
  const std::string payload(SizeLimits::kMaxSnapshotChunkBytes + 5, 'x');
  SnapshotAssembler assembler;
  const auto oldest =
      SnapshotSplitter::Split(RecordId("oldest"), LogOffset(1), payload);
  CHECK_FALSE(assembler.Add(oldest[0]).has_value());
  for (std::size_t i = 0; i < SnapshotAssembler::kMaxOpen; ++i) {
    const RecordId id(std::to_string(i));
    const auto records = SnapshotSplitter::Split(id, LogOffset(2), payload);
    CHECK_FALSE(assembler.Add(records[0]).has_value());
  }
  CHECK_FALSE(assembler.Add(oldest[1]).has_value());
}

}  // namespace citrongrade
