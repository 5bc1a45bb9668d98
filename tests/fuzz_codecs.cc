// Bad input for whatever reads text that another process or an operator wrote.
// Each case passes if nothing crashes, throws what it should not, or is read
// as something that can't be written back.

#include <doctest/doctest.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "modules/protocol/config_rules.h"
#include "modules/protocol/declaration_set.h"
#include "modules/protocol/invalid_declaration_error.h"
#include "modules/protocol/malformed_json_error.h"
#include "modules/protocol/mesh_image_codec.h"
#include "modules/protocol/record_codec.h"
#include "modules/protocol/service_settings_codec.h"
#include "modules/state/accept_all_config.h"
#include "modules/state/mesh_state.h"
#include "tests/fuzz_input.h"

namespace citrongrade {

namespace {

constexpr std::uint64_t kSeed = 20'260'401;

const ServiceId kService{WorkspaceName("w"), ServiceName("s")};
const MemberId kMember{NodeId("n"), Incarnation(1)};

std::vector<Record> SampleRecords() {
  const std::vector<OwnedSlotRange> runs = {{SlotIndex(0), 8, kMember},
                                            {SlotIndex(9), 1, kMember}};
  JoinRecord join;
  join.node = kMember.node;
  join.availability_zone = AvailabilityZone("derby");
  join.boot_id = "b";
  join.peer_address = "127.0.0.1:1";
  join.service = kService;
  return {
      join,
      LeaveRecord{kMember},
      WitnessSetRecord{kMember, WitnessSetVersion(0), {kMember}},
      WitnessSetConfirmedRecord{kMember, WitnessSetVersion(2)},
      AssignRecord{kService, 16, 7, runs},
      TransferRecord{kMember, kService, LogOffset(4), runs},
      TakeoverRecord{
          kMember, kService, {{kMember, WitnessSetVersion(2), false}}, runs},
      ForgetRecord{kMember, "ana"},
      ConfigRecord{ConfigKind::kTemplate, "t", ConfigVersion(), "{}", "ana"},
      SnapshotRecord{RecordId("x"), LogOffset(3), 0, 1, 9, "{}"}};
}

std::vector<std::string> SampleRecordTexts() {
  std::vector<std::string> texts;
  for (const Record& record : SampleRecords()) {
    texts.push_back(RecordCodec::Encode(RecordId("id"), record));
  }
  return texts;
}

MeshImage SampleImage() {
  const AcceptAllConfig rules;
  MeshState state(rules);
  for (const Record& record : SampleRecords()) {
    if (!std::holds_alternative<ForgetRecord>(record) &&
        !std::holds_alternative<LeaveRecord>(record)) {
      state.Apply({state.next_offset(), RecordId("id"), record});
    }
  }
  return state.Image();
}

const std::string kTemplate = R"(kind: template
name: t
description: "quoted"
parameters:
  header: {type: text, required: true, values: [A, B]}
  wait: {type: duration, min: 100ms, max: 30s, default: 10s}
  body:
    type: size
    default: 1MiB
settings:
  key_source: header
  key_name: {parameter: header}
  default_deadline: {parameter: wait}
  max_body: {parameter: body}
  idempotent_methods: [GET, HEAD]
  require_request_id: true
  slot_count: 64
)";

const std::string kDeclaration = R"(# a service
kind: service
workspace: w
name: s
template: t
parameters:
  header: A
  wait: 3s
)";

}  // namespace

TEST_CASE("60,000 bad records: each is unreadable or can be written again") {
  FuzzInput input(kSeed, SampleRecordTexts());
  std::size_t readable = 0;
  for (int i = 0; i < 60'000; ++i) {
    const LogEntry entry = RecordCodec::Decode(LogOffset(1), input.Next());
    if (std::holds_alternative<UnreadableRecord>(entry.record)) {
      continue;
    }
    ++readable;
    const std::string text = RecordCodec::Encode(entry.id, entry.record);
    REQUIRE(RecordCodec::Decode(LogOffset(1), text) == entry);
  }
  // Some edits leave a good record; were there none, the cases would all end at
  // the first byte and reach little.
  CHECK(readable > 300);
}

TEST_CASE("30,000 bad records are replayed as a log, snapshot included") {
  // One faulty writer fills the log with whatever it likes. Every node replays
  // it, and each must live and still agree with one restored from a snapshot.
  const ConfigRules rules;
  FuzzInput input(kSeed + 1, SampleRecordTexts());
  MeshState state(rules);
  for (int i = 0; i < 30'000; ++i) {
    state.Apply(RecordCodec::Decode(state.next_offset(), input.Next()));
  }
  const std::string text = MeshImageCodec::Encode(state.Image());
  const MeshState restored(rules, MeshImageCodec::Decode(text));
  CHECK(restored.Image() == state.Image());
}

TEST_CASE("20,000 bad snapshots: refused, or good enough to replay from") {
  const AcceptAllConfig rules;
  FuzzInput input(kSeed + 2, {MeshImageCodec::Encode(SampleImage())});
  for (int i = 0; i < 20'000; ++i) {
    try {
      const MeshImage image = MeshImageCodec::Decode(input.Next());
      const MeshState state(rules, image);
      REQUIRE_FALSE(MeshImageCodec::Encode(state.Image()).empty());
    } catch (const MalformedJsonError&) {
      // What most of them give.
    }
  }
}

TEST_CASE("20,000 bad files: problems for people, or declarations that hold") {
  FuzzInput input(kSeed + 3, {kTemplate, kDeclaration});
  std::size_t accepted = 0;
  for (int i = 0; i < 20'000; ++i) {
    const bool bad_template = input.Below(2) == 0;
    const std::vector<DeclarationFile> files = {
        {"t.yaml", bad_template ? input.Next() : kTemplate},
        {"s.yaml", bad_template ? kDeclaration : input.Next()}};
    try {
      const DeclarationSet set = DeclarationSet::Read(files, {});
      ++accepted;
      // What the files' checks accept, the nodes' must.
      const ConfigRules rules;
      MeshState state(rules);
      for (const Declaration& declaration : set.declarations()) {
        const ConfigRecord record{declaration.kind, declaration.name,
                                  ConfigVersion(), declaration.body, "ana"};
        REQUIRE(state.Apply({state.next_offset(), RecordId("id"), record})
                    .accepted());
      }
      ServiceSettingsCodec::DecodeAll(state);
    } catch (const InvalidDeclarationError& error) {
      REQUIRE_FALSE(error.problems().empty());
      // A message must be fit for a terminal and for JSON.
      for (const DeclarationProblem& problem : error.problems()) {
        REQUIRE_FALSE(nlohmann::json(problem.ToString()).dump().empty());
      }
    }
  }
  CHECK(accepted > 100);
}

TEST_CASE("20,000 bad bodies of configuration records: refused or in force") {
  const std::string body =
      R"({"kind":"template","name":"t","parameters":{"a":{"type":"integer",)"
      R"("min":1,"max":9,"default":3}},"settings":{"max_queued":)"
      R"({"parameter":"a"},"key_source":"none"}})";
  const std::string service =
      R"({"kind":"service","workspace":"w","name":"s","template":"t",)"
      R"("parameters":{"a":4}})";
  const ConfigRules rules;
  MeshState state(rules);
  FuzzInput input(kSeed + 4, {body, service});
  for (int i = 0; i < 20'000; ++i) {
    const bool is_template = input.Below(2) == 0;
    const ConfigKind kind =
        is_template ? ConfigKind::kTemplate : ConfigKind::kService;
    const std::string name = is_template ? "t" : "w/s";
    const ConfigEntry* current = state.FindConfig(kind, name);
    const ConfigVersion version =
        current == nullptr ? ConfigVersion() : current->version;
    const ConfigRecord record{kind, name, version, input.Next(), "ana"};
    const ApplyResult result =
        state.Apply({state.next_offset(), RecordId("id"), record});
    if (result.accepted()) {
      REQUIRE_NOTHROW(ServiceSettingsCodec::DecodeAll(state));
    }
  }
}

}  // namespace citrongrade
