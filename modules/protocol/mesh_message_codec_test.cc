#include "modules/protocol/mesh_message_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <doctest/doctest.h>
#include <kj/io.h>

#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "modules/protocol/malformed_message_error.h"
#include "modules/protocol/mesh.capnp.h"

namespace citrongrade {

namespace {

SlotAssignment MakeAssignment(std::uint32_t first,
                              std::uint32_t last,
                              const char* owner) {
  SlotAssignment run;
  run.range = {first, last};
  run.owner = owner;
  run.fence = (std::uint64_t{3} << 24U) + first;
  return run;
}

constexpr std::size_t kManyNodes = 600;

std::string AddressOf(std::size_t node) {
  return "10.200." + std::to_string(node / 250) + "." +
         std::to_string(node % 250) + ":7240";
}

// Every slot is a run by itself, with all that a run can have.
KeyTable TableOfSingleSlots(std::uint64_t epoch) {
  KeyTable table;
  for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
    const std::size_t owner = slot % kManyNodes;
    SlotAssignment run = MakeAssignment(slot, slot, AddressOf(owner).c_str());
    run.incarnation = {"i-" + std::to_string(1'000'000'000 + owner), 0};
    run.fence = (epoch << 24U) + slot;
    run.handover = "0123456789abcdef";
    table.Assign(run);
  }
  return table;
}

// As many as a leader stores.
std::vector<TargetDeparture> ManyDepartures() {
  constexpr std::size_t kDepartures = 40;
  std::mt19937_64 random(kDepartures);
  std::vector<TargetDeparture> departures;
  for (std::size_t i = 0; i < kDepartures; ++i)
    departures.push_back({static_cast<std::uint32_t>(random()), {random(), 0}});
  return departures;
}

// As many as a leader stores, eight beside each crash.
std::vector<CrashSuspect> ManySuspects() {
  constexpr std::size_t kSuspects = 512;
  constexpr std::size_t kSuspectsPerCrash = 8;
  std::mt19937_64 random(kSuspects);
  std::vector<CrashSuspect> suspects;
  std::uint64_t crash = 0;
  for (std::size_t i = 0; i < kSuspects; ++i) {
    if (i % kSuspectsPerCrash == 0)
      crash = random();
    suspects.push_back(
        {random(), {{crash, false}}, std::chrono::seconds(i / 2)});
  }
  return suspects;
}

std::string Packed(capnp::MessageBuilder& message) {
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return std::string(reinterpret_cast<const char*>(bytes.begin()),
                     bytes.size());
}

std::vector<CrashSuspect> SampleSuspects() {
  constexpr std::uint64_t kCrash = 0xfedc'ba98'7654'3210;
  return {{1, {{7, false}}, std::chrono::seconds(0)},
          {2, {{7, true}, {kCrash, false}}, std::chrono::seconds(90)}};
}

HeartbeatReply SampleReply() {
  HeartbeatReply reply;
  reply.is_leader = true;
  reply.nonce = 7;
  reply.lease_ms = 1900;
  reply.max_lease_ms = 2600;
  reply.view.epoch = 3;
  reply.view.version = 12;
  reply.view.is_whole = true;
  SlotAssignment own = MakeAssignment(0, 9, "10.0.0.1:7240");
  own.incarnation = {"t-1", 99};
  own.handover = "token";
  own.next = {"10.0.0.2:7240", {"t-2", 98}, own.fence + 1};
  reply.view.assignments.push_back({"divided", own});
  reply.view.assignments.push_back(
      {"divided", MakeAssignment(10, 19, "10.0.0.2:7240")});
  reply.view.assignments.push_back({"divided", MakeAssignment(20, 29, "")});
  reply.view.assignments.push_back(
      {"other", MakeAssignment(0, kSlotCount - 1, "10.0.0.3:7240")});
  reply.config_source = "10.0.0.4:7240";
  reply.config_age_ms = 340;
  reply.evacuations = {17, {"derby"}};
  reply.crash_report = {3, 2, SampleSuspects(), 9};
  reply.departures = {{{11, 0}, {12, 0}}, 8};
  return reply;
}

}  // namespace

TEST_CASE("a reply comes out as it went in, in full or in outline") {
  const HeartbeatReply reply = SampleReply();
  CHECK(MeshMessageCodec::DecodeHeartbeatReply(
            MeshMessageCodec::Encode(reply)) == reply);
}

TEST_CASE("a heartbeat comes out as it went in") {
  Heartbeat heartbeat;
  heartbeat.address = "10.0.0.1:7240";
  heartbeat.target.warm_up_left_ms = 900;
  heartbeat.target.cold_requests_per_second = 12.15;
  heartbeat.target.named_requests_per_second = 26.1;
  heartbeat.evacuations = {17, {"derby", "suape"}};
  heartbeat.departures = {{{11, 5}, {12, 0}}, {13}, 7};
  heartbeat.long_run_us = 900'000;
  heartbeat.crash_report = {4, 5, SampleSuspects(), 6};
  CHECK(MeshMessageCodec::DecodeHeartbeat(
            MeshMessageCodec::Encode(heartbeat)) == heartbeat);
}

// Guards against a leader that can't read the nodes of an earlier version, or
// takes what they don't report for a capacity or run time of some length.
TEST_CASE("a heartbeat of an earlier version lacks the estimates") {
  // As the version before longRunUs and capacityRps encoded it.
  constexpr std::string_view kHex =
      "1021500d0a0001120108000570605b030001e0803a4011251211250a11250a11"
      "250a1125421125071125141125050000511c0101016100027f64697669646564"
      "5001031105070000110106";
  std::string bytes;
  for (std::size_t i = 0; i < kHex.size(); i += 2) {
    constexpr int kHexBase = 16;
    bytes += static_cast<char>(
        std::stoi(std::string(kHex.substr(i, 2)), nullptr, kHexBase));
  }
  const Heartbeat heartbeat = MeshMessageCodec::DecodeHeartbeat(bytes);
  CHECK(heartbeat.address == "a");
  CHECK(heartbeat.target.named_requests_per_second == 26.5);
  CHECK(heartbeat.mean_service_time_us == 220'000);
  CHECK(heartbeat.slot_request_counts ==
        std::vector<Heartbeat::SlotRequestCount>{{5, 7}});
  CHECK(heartbeat.long_run_us == 0);
  CHECK(heartbeat.crash_report == CrashReport());
}

TEST_CASE("what others own takes little room") {
  HeartbeatReply reply;
  constexpr std::uint32_t kRuns = 840;
  constexpr std::uint32_t kLength = 9;
  for (std::uint32_t i = 0; i < kRuns; ++i) {
    const std::string owner = "10.0.0." + std::to_string(i * 7 % 75) + ":7240";
    reply.view.assignments.push_back(
        {"divided", MakeAssignment(i * kLength, i * kLength + kLength - 1,
                                   owner.c_str())});
  }
  // 11 bytes a run, owners included: what 75 nodes need after a change of
  // leader.
  CHECK(MeshMessageCodec::Encode(reply).size() < kRuns * 15);
}

TEST_CASE("a record keeps all that a leader needs of a move under way") {
  MeshRecord record;
  record.epoch = 4;
  record.leader = "a";
  record.voters = {"a", "b"};
  record.max_lease = std::chrono::milliseconds(2600);
  record.crash_suspects = SampleSuspects();
  record.departures = {{1, {11, 5}}, {2, {12, 0}}};
  record.tables["divided"].Assign(
      SampleReply().view.assignments.front().assignment);
  CHECK(MeshMessageCodec::DecodeRecord(MeshMessageCodec::Encode(record)) ==
        record);
}

// What callers see: a node that lost its view refuses all for ever, and so do
// all nodes after a change of leader. Moves of hot keys cut the table into
// thousands of runs, and the whole view that they need is not read.
TEST_CASE("a whole view is read however the table is cut") {
  constexpr std::uint64_t kEpoch = 1'000;
  MeshView of_leader;
  of_leader.BeginEpoch(kEpoch);
  of_leader.SetTable("divided", TableOfSingleSlots(kEpoch));
  HeartbeatReply reply;
  reply.view = of_leader.ChangesSince(0, 0, AddressOf(0));
  MeshView view;
  CHECK(view.Apply(
      MeshMessageCodec::DecodeHeartbeatReply(MeshMessageCodec::Encode(reply))
          .view));
  CHECK(view.FindTable("divided")->assignments().size() == kSlotCount);
}

// What callers see: nothing changes hands any more. Keys of a lost target stay
// unserved, for ever. Moves of hot keys cut the table, the stored record
// outgrows what the store takes in one record, and no leader can store a
// change.
TEST_CASE("the record fits the store however the table is cut") {
  constexpr std::size_t kLargestRecord = std::size_t{256} * 1024;
  MeshRecord record;
  record.epoch = 1'000;
  for (std::size_t node = 0; node < kManyNodes; ++node)
    record.voters.push_back(AddressOf(node));
  record.tables["divided"] = TableOfSingleSlots(record.epoch);
  record.crash_suspects = ManySuspects();
  record.departures = ManyDepartures();
  const std::string bytes = MeshMessageCodec::Encode(record);
  CHECK(MeshMessageCodec::DecodeRecord(bytes) == record);
  CHECK_MESSAGE(bytes.size() < kLargestRecord, bytes.size());
}

// Nodes are replaced one after the other. A new one must know whose keys are
// whose from what an old one stored; an old one that would see no owner in a
// new record must not lead, and gives up on a run that is none.
TEST_CASE("records of an earlier program are read, and ours refused by it") {
  capnp::MallocMessageBuilder earlier;
  auto run = earlier.initRoot<rpc::StoredMesh>().initRuns(1)[0];
  run.setService("divided");
  run.getRange().setLast(kSlotCount - 1);
  run.setOwner("a");
  run.setFence(7);
  const MeshRecord record = MeshMessageCodec::DecodeRecord(Packed(earlier));
  REQUIRE(record.tables.contains("divided"));
  CHECK(record.tables.at("divided").Find(0).owner == "a");

  const std::string bytes = MeshMessageCodec::Encode(record);
  kj::ArrayInputStream stream(kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
  capnp::PackedMessageReader message(stream);
  const auto runs = message.getRoot<rpc::StoredMesh>().getRuns();
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].getRange().getFirst() > runs[0].getRange().getLast());
}

// Another process of another version, or one gone wrong, sends what it likes.
TEST_CASE("bytes that are no message are refused, whatever they are") {
  const std::string good = MeshMessageCodec::Encode(SampleReply());
  constexpr std::uint64_t kSeed = 20'261'203;
  constexpr int kCases = 20'000;
  std::mt19937_64 random(kSeed);
  int read = 0;
  for (int i = 0; i < kCases; ++i) {
    std::string bytes = good;
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t c = 0; c < changes; ++c)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 4 == 0)
      bytes.resize(random() % bytes.size());
    try {
      const HeartbeatReply reply =
          MeshMessageCodec::DecodeHeartbeatReply(bytes);
      for (const ViewDelta::Assignment& run : reply.view.assignments)
        REQUIRE(run.assignment.range.last < kSlotCount);
      ++read;
    } catch (const MalformedMessageError&) {
      // As it should.
    }
  }
  CHECK(read < kCases);
}

}  // namespace citrongrade
