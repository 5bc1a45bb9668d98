#include "modules/protocol/record_codec.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "modules/coordination/coordinator_settings.h"
#include "modules/protocol/record_not_encodable_error.h"
#include "modules/state/size_limits.h"

namespace citrongrade {

namespace {

const ServiceId kSorteio{WorkspaceName("instituto-amostra-justa"),
                         ServiceName("sorteio")};
const MemberId kFirst{NodeId("node-1"), Incarnation(7)};
const MemberId kSecond{NodeId("node-2"), Incarnation(9)};

std::vector<Record> OneOfEachKind() {
  const std::vector<OwnedSlotRange> runs = {{SlotIndex(0), 3, kFirst},
                                            {SlotIndex(3), 1, kSecond},
                                            {SlotIndex(9), 2, kFirst}};
  return {UnreadableRecord{"why"},
          JoinRecord{NodeId("node-1"), AvailabilityZone("derby"), "127.0.0.1:1",
                     "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "boot",
                     kSorteio, 12, 110, true},
          LeaveRecord{kFirst},
          WitnessSetRecord{kFirst, WitnessSetVersion(3), {kSecond}},
          WitnessSetConfirmedRecord{kFirst, WitnessSetVersion(12)},
          AssignRecord{kSorteio, 1024, 0xffff'ffff'ffff'ffffULL, runs},
          TransferRecord{kFirst, kSorteio, LogOffset(8), runs},
          TakeoverRecord{
              kFirst, kSorteio, {{kSecond, WitnessSetVersion(3), true}}, runs},
          ForgetRecord{kFirst, "ana"},
          ConfigRecord{ConfigKind::kService, "a/b", ConfigVersion(4),
                       "{\"vão\": \"\\n\"}", "josé"},
          SnapshotRecord{RecordId("ab"), LogOffset(5), 1, 2, 77, "{\"x\"}"}};
}

std::string Reason(std::string_view text) {
  const LogEntry entry = RecordCodec::Decode(LogOffset(1), text);
  const auto* unreadable = std::get_if<UnreadableRecord>(&entry.record);
  return unreadable == nullptr ? "" : unreadable->reason;
}

}  // namespace

TEST_CASE("every kind of record is read as it was written") {
  for (const Record& record : OneOfEachKind()) {
    const std::string text = RecordCodec::Encode(RecordId("id-1"), record);
    const LogEntry entry = RecordCodec::Decode(LogOffset(42), text);
    CHECK(entry == LogEntry{LogOffset(42), RecordId("id-1"), record});
  }
  CHECK(OneOfEachKind().size() == std::variant_size_v<Record>);
}

TEST_CASE("a record that can't be read says why, and keeps its id") {
  // A writer of a later version appends a type that this version doesn't know.
  // It looks for its record by id, so the id must be found all the same.
  const LogEntry entry = RecordCodec::Decode(
      LogOffset(1), R"({"id": "abc", "type": "from-the-future"})");
  CHECK(entry.id == RecordId("abc"));
  CHECK(Reason(R"({"id": "abc", "type": "from-the-future"})") ==
        "type: unknown");
  CHECK(Reason(R"({"id":"a","type":"leave","member":["n",1],"x":1})") ==
        "record: unknown field x");
  CHECK(Reason(R"({"id":"a","type":"leave"})") ==
        "record: lacks the field member");
  CHECK(Reason(R"({"id":"a","type":"leave","member":["n",-1]})") ==
        "member's incarnation: is not a whole number of 0 or more");
  CHECK_FALSE(Reason("\xff not json").empty());
  CHECK(Reason("[]") == "record: is not an object");
}

TEST_CASE("a record can't make every node hold more slots than the limit") {
  // One faulty writer claims four billion slots. Were the record read, each
  // node that replays it would allocate 48 GB and die, and so would each one
  // that restarts, for as long as the log keeps the record.
  const std::string reason = Reason(
      R"({"id":"a","type":"assign","service":"w/s","slot_count":4294967295,)"
      R"("hash_seed":0,"owners":[],"runs":[]})");
  CHECK(reason ==
        "slot_count: is greater than " + std::to_string(SizeLimits::kMaxSlots));
}

TEST_CASE("a run that names an owner beyond the list is unreadable") {
  CHECK(
      Reason(
          R"({"id":"a","type":"transfer","from":["n",1],)"
          R"("service":"w/s","as_of":1,"owners":[["m",2]],"runs":[0,1,1]})") ==
      "runs: names an owner that is not listed");
}

TEST_CASE("a snapshot's chunk as large as nodes write it is readable") {
  // Nodes cut snapshots into chunks of a size of their own choice. Were a chunk
  // beyond the codec's bound, each snapshot would be unreadable, and a node
  // that joins after the log's first records are gone could never start.
  const SnapshotRecord record{
      RecordId("a"),
      LogOffset(1),
      0,
      1,
      0,
      std::string(CoordinatorSettings().snapshot_chunk_bytes, 'x')};
  const std::string text = RecordCodec::Encode(RecordId("id"), record);
  CHECK(RecordCodec::Decode(LogOffset(1), text).record == Record(record));
}

TEST_CASE("what the log would not take is refused before it is sent") {
  const SnapshotRecord large{RecordId("a"),
                             LogOffset(1),
                             0,
                             1,
                             0,
                             std::string(SizeLimits::kMaxRecordBytes, 'x')};
  CHECK_THROWS_AS(RecordCodec::Encode(RecordId("a"), large),
                  RecordNotEncodableError);
  CHECK_THROWS_AS(
      RecordCodec::Encode(RecordId("a"), ForgetRecord{kFirst, "\xff"}),
      RecordNotEncodableError);
}

}  // namespace citrongrade
