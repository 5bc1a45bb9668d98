// The slopes that docs/CAPACITY.md is worked out from: what one record, slot,
// member, lookup or publication costs, against the size of the mesh. Run one
// with --benchmark_filter=NAME.

#include <benchmark/benchmark.h>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "benchmarks/capacity_mesh.h"
#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/messages/peer_message.h"
#include "modules/coordination/request_id_memory.h"
#include "modules/coordination/witnessed_ids.h"
#include "modules/protocol/config_rules.h"
#include "modules/protocol/mesh_image_codec.h"
#include "modules/protocol/peer.capnp.h"
#include "modules/protocol/peer_message_codec.h"
#include "modules/protocol/record_codec.h"
#include "modules/protocol/service_settings_codec.h"

namespace citrongrade {

namespace {

constexpr int kTargetMembers = 600;
constexpr int kTargetSlots = 65'536;

void AddSizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgNames({"members", "slots"})
      ->Args({60, 8'192})
      ->Args({60, kTargetSlots})
      ->Args({kTargetMembers, 8'192})
      ->Args({kTargetMembers, kTargetSlots})
      ->Unit(benchmark::kMicrosecond);
}

std::size_t BytesInUse() {
  return mallinfo2().uordblks;
}

CapacityMesh MakeMesh(const benchmark::State& run) {
  return CapacityMesh(static_cast<std::size_t>(run.range(0)),
                      static_cast<std::uint32_t>(run.range(1)));
}

std::string EncodeRecord(const Record& record) {
  return RecordCodec::Encode(RecordId(std::string(32, 'a')), record);
}

// Decoding and applying one move of one slot: the most frequent record.
void ReplayTransfer(benchmark::State& run) {
  CapacityMesh mesh = MakeMesh(run);
  std::uint32_t slot = 0;
  std::size_t bytes = 0;
  for (auto step : run) {
    run.PauseTiming();
    const std::string text =
        EncodeRecord(mesh.MakeTransfer(slot++ % mesh.slots()));
    bytes = text.size();
    run.ResumeTiming();
    const LogEntry entry =
        RecordCodec::Decode(mesh.state().next_offset(), text);
    benchmark::DoNotOptimize(mesh.state().Apply(entry));
  }
  run.counters["record_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(ReplayTransfer)->Apply(AddSizes);

// The takeover of one member's slots, scattered over all others; each round
// starts from the same mesh.
void ReplayTakeover(benchmark::State& run) {
  CapacityMesh mesh = MakeMesh(run);
  const std::string text = EncodeRecord(mesh.MakeTakeover(0));
  const AcceptAllConfig rules;
  const MeshImage image = mesh.state().Image();
  for (auto step : run) {
    run.PauseTiming();
    auto state = std::make_unique<MeshState>(rules, image);
    run.ResumeTiming();
    const LogEntry entry = RecordCodec::Decode(state->next_offset(), text);
    benchmark::DoNotOptimize(state->Apply(entry));
    run.PauseTiming();
    state.reset();
    run.ResumeTiming();
  }
  run.counters["record_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ReplayTakeover)->Apply(AddSizes);

void ReplayWitnessSet(benchmark::State& run) {
  CapacityMesh mesh = MakeMesh(run);
  const MemberId member = mesh.members()[0];
  std::size_t bytes = 0;
  for (auto step : run) {
    run.PauseTiming();
    const Member* known = mesh.state().FindMember(member);
    WitnessSetRecord record{member, known->witnesses.version, {}};
    for (const Witness& witness : known->witnesses.witnesses) {
      record.witnesses.push_back(witness.member);
    }
    const std::string proposal = EncodeRecord(record);
    const std::string confirmation = EncodeRecord(WitnessSetConfirmedRecord{
        member, WitnessSetVersion(mesh.state().next_offset().value())});
    bytes = proposal.size() + confirmation.size();
    run.ResumeTiming();
    mesh.state().Apply(
        RecordCodec::Decode(mesh.state().next_offset(), proposal));
    mesh.state().Apply(
        RecordCodec::Decode(mesh.state().next_offset(), confirmation));
  }
  run.counters["record_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(ReplayWitnessSet)->Apply(AddSizes);

void SnapshotEncode(benchmark::State& run) {
  CapacityMesh mesh = MakeMesh(run);
  std::size_t bytes = 0;
  for (auto step : run) {
    bytes = MeshImageCodec::Encode(mesh.state().Image()).size();
  }
  run.counters["snapshot_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(SnapshotEncode)->Apply(AddSizes);

void SnapshotDecode(benchmark::State& run) {
  CapacityMesh mesh = MakeMesh(run);
  const AcceptAllConfig rules;
  const std::string text = MeshImageCodec::Encode(mesh.state().Image());
  for (auto step : run) {
    const MeshState state(rules, MeshImageCodec::Decode(text));
    benchmark::DoNotOptimize(state.next_offset());
  }
}
BENCHMARK(SnapshotDecode)->Apply(AddSizes);

// From a key to its slot's owner in the replayed table.
void LookUpOwner(benchmark::State& run) {
  CapacityMesh mesh = MakeMesh(run);
  const SlotTable* table = mesh.state().FindSlots(CapacityMesh::service());
  constexpr std::size_t kKeys = 65'536;
  std::vector<std::string> keys;
  for (std::size_t i = 0; i < kKeys; ++i) {
    keys.push_back("engagement-" + std::to_string(i * 7'919));
  }
  std::size_t next = 0;
  for (auto step : run) {
    benchmark::DoNotOptimize(
        table->OwnerOf(table->SlotOf(keys[next++ % kKeys])));
  }
}
BENCHMARK(LookUpOwner)->Apply(AddSizes)->Unit(benchmark::kNanosecond);

// Memory of the whole replayed state.
void StateMemory(benchmark::State& run) {
  CapacityMesh mesh = MakeMesh(run);
  const MeshImage image = mesh.state().Image();
  const AcceptAllConfig rules;
  std::size_t bytes = 0;
  for (auto step : run) {
    const std::size_t before = BytesInUse();
    const MeshState state(rules, image);
    bytes = BytesInUse() - before;
  }
  run.counters["state_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(StateMemory)->Apply(AddSizes)->Iterations(3);

std::string TemplateBody(int queue) {
  return R"({"kind":"template","name":"t","parameters":{"header":{"type":)"
         R"("text","required":true},"deadline":{"type":"duration","min":)"
         R"("100ms","max":"30s","default":"10s"}},"settings":{"key_source":)"
         R"("header","key_name":{"parameter":"header"},"default_deadline":)"
         R"({"parameter":"deadline"},"require_request_id":true,"max_queued":)" +
         std::to_string(queue) + "}}";
}

// A mesh's services, all of one template.
class Services {
 public:
  explicit Services(int count) : m_state(m_rules) {
    Publish(ConfigKind::kTemplate, "t", TemplateBody(1));
    for (int i = 0; i < count; ++i) {
      const std::string name = "service-" + std::to_string(i);
      Publish(ConfigKind::kService, "workspace/" + name,
              R"({"kind":"service","workspace":"workspace","name":")" + name +
                  R"(","template":"t","parameters":{"header":"Key",)"
                  R"("deadline":"8s"}})");
    }
  }

  ConfigRecord MakeRecord(ConfigKind kind,
                          const std::string& name,
                          const std::string& body) const {
    const ConfigEntry* entry = m_state.FindConfig(kind, name);
    return {kind, name, entry == nullptr ? ConfigVersion() : entry->version,
            body, "ana"};
  }
  void Publish(ConfigKind kind,
               const std::string& name,
               const std::string& body) {
    Apply(EncodeRecord(MakeRecord(kind, name, body)));
  }
  void Apply(const std::string& text) {
    m_state.Apply(RecordCodec::Decode(m_state.next_offset(), text));
  }
  const MeshState& state() const { return m_state; }

 private:
  ConfigRules m_rules;
  MeshState m_state;
};

void ReplayServicePublication(benchmark::State& run) {
  Services services(static_cast<int>(run.range(0)));
  const std::string body =
      R"({"kind":"service","workspace":"workspace","name":"service-0",)"
      R"("template":"t","parameters":{"header":"Key","deadline":"9s"}})";
  std::size_t bytes = 0;
  for (auto step : run) {
    run.PauseTiming();
    const std::string text = EncodeRecord(
        services.MakeRecord(ConfigKind::kService, "workspace/service-0", body));
    bytes = text.size();
    run.ResumeTiming();
    services.Apply(text);
  }
  run.counters["record_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(ReplayServicePublication)
    ->ArgName("services")
    ->Arg(4)
    ->Arg(100)
    ->Unit(benchmark::kMicrosecond);

// The dearest publication: every service of the template is checked again.
void ReplayTemplatePublication(benchmark::State& run) {
  Services services(static_cast<int>(run.range(0)));
  int queue = 1;
  std::size_t bytes = 0;
  for (auto step : run) {
    run.PauseTiming();
    const std::string text = EncodeRecord(services.MakeRecord(
        ConfigKind::kTemplate, "t", TemplateBody(1 + queue++ % 1'000)));
    bytes = text.size();
    run.ResumeTiming();
    services.Apply(text);
  }
  run.counters["record_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(ReplayTemplatePublication)
    ->ArgName("services")
    ->Arg(4)
    ->Arg(100)
    ->Unit(benchmark::kMicrosecond);

// What a node does after each accepted publication.
void DecodeAllSettings(benchmark::State& run) {
  const Services services(static_cast<int>(run.range(0)));
  for (auto step : run) {
    benchmark::DoNotOptimize(ServiceSettingsCodec::DecodeAll(services.state()));
  }
}
BENCHMARK(DecodeAllSettings)
    ->ArgName("services")
    ->Arg(4)
    ->Arg(100)
    ->Unit(benchmark::kMicrosecond);

ProtectedRequest MakeRequest(std::uint64_t number) {
  constexpr std::uint32_t kSlotsOfOneNode = 109;
  ProtectedRequest request;
  request.service = CapacityMesh::service();
  request.slot =
      SlotIndex(static_cast<std::uint32_t>(number) % kSlotsOfOneNode);
  request.id = {number * 0x9e37'79b9'7f4a'7c15ULL, number};
  request.resend_horizon = std::chrono::minutes(10);
  return request;
}

// Time and memory of one request id at its owner.
void RememberIdAtOwner(benchmark::State& run) {
  const auto count = static_cast<std::uint64_t>(run.range(0));
  const CoordinatorSettings settings;
  std::size_t bytes = 0;
  for (auto step : run) {
    const std::size_t before = BytesInUse();
    RequestIdMemory memory(count, settings.max_answer_bytes);
    for (std::uint64_t i = 0; i < count; ++i) {
      const ProtectedRequest request = MakeRequest(i);
      memory.Add(request, Clock::TimePoint());
      memory.SetRunning(request.slot, request.id);
      memory.Finish(request, nullptr, Clock::TimePoint());
    }
    bytes = BytesInUse() - before;
  }
  run.SetItemsProcessed(run.iterations() * run.range(0));
  run.counters["bytes_per_id"] =
      static_cast<double>(bytes) / static_cast<double>(count);
}
BENCHMARK(RememberIdAtOwner)->Arg(100'000)->Unit(benchmark::kMillisecond);

// The same at one of its witnesses.
void RememberIdAtWitness(benchmark::State& run) {
  const auto count = static_cast<std::uint64_t>(run.range(0));
  constexpr std::uint64_t kBatch = 20;
  const MemberId owner{NodeId("recife-derby-host-1"), Incarnation(7)};
  std::size_t bytes = 0;
  for (auto step : run) {
    const std::size_t before = BytesInUse();
    WitnessedIds memory{CoordinatorSettings()};
    for (std::uint64_t i = 0; i < count; i += kBatch) {
      RegisterIdsRequest batch;
      batch.service = CapacityMesh::service();
      for (std::uint64_t j = i; j < i + kBatch; ++j) {
        const ProtectedRequest request = MakeRequest(j);
        batch.ids.push_back(
            {request.slot, request.id, {}, request.resend_horizon});
      }
      memory.Store(owner, batch, Clock::TimePoint());
    }
    bytes = BytesInUse() - before;
  }
  run.SetItemsProcessed(run.iterations() * run.range(0));
  run.counters["bytes_per_id"] =
      static_cast<double>(bytes) / static_cast<double>(count);
}
BENCHMARK(RememberIdAtWitness)->Arg(100'000)->Unit(benchmark::kMillisecond);

// Encoding and decoding of one message between nodes, and its size, without
// what the RPC layer and TCP add.
void CodePeerMessage(benchmark::State& run, const PeerMessage& message) {
  std::size_t bytes = 0;
  for (auto step : run) {
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<rpc::PeerMessage>();
    PeerMessageCodec::Encode(message, root);
    bytes = capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
    benchmark::DoNotOptimize(PeerMessageCodec::Decode(root.asReader()));
  }
  run.counters["message_bytes"] = static_cast<double>(bytes);
}

PeerMessage MakeMessage(PeerMessage::Content content) {
  return {{NodeId("recife-derby-host-1"), Incarnation(7)},
          {NodeId("recife-derby-host-2"), Incarnation(9)},
          std::move(content)};
}

RegisterIdsRequest MakeIds(std::uint64_t count) {
  RegisterIdsRequest batch;
  batch.service = CapacityMesh::service();
  for (std::uint64_t i = 0; i < count; ++i) {
    const ProtectedRequest request = MakeRequest(i);
    batch.ids.push_back({request.slot, request.id, {}, request.resend_horizon});
  }
  return batch;
}

BENCHMARK_CAPTURE(CodePeerMessage, lease_request, MakeMessage(LeaseRequest()));
BENCHMARK_CAPTURE(CodePeerMessage, lease_reply, MakeMessage(LeaseReply()));
BENCHMARK_CAPTURE(CodePeerMessage, one_id, MakeMessage(MakeIds(1)));
BENCHMARK_CAPTURE(CodePeerMessage, twenty_ids, MakeMessage(MakeIds(20)));
BENCHMARK_CAPTURE(CodePeerMessage, ids_reply, MakeMessage(RegisterIdsReply()));

}  // namespace

}  // namespace citrongrade

BENCHMARK_MAIN();
