#include "modules/protocol/mesh_image_codec.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "modules/protocol/malformed_json_error.h"

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

}  // namespace citrongrade
