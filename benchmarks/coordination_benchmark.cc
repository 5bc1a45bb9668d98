// Measures coordination in virtual time on the simulated mesh: messages of
// leases, time from a loss to service, churn; and the cost of replay in real
// time. Usage: coordination_benchmark [--check]   (bounds on the counts)

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <iostream>
#include <string>
#include <vector>

#include "modules/coordination/testing/simulated_mesh.h"
#include "modules/state/accept_all_config.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLosses = 240;
constexpr std::size_t kLossesPerMesh = 12;
constexpr milliseconds kStep{10};
constexpr std::uint32_t kSlots = 32;

// One measured figure and the bound that it must keep.
struct Figure {
  std::string name;
  double value = 0;
  double bound = 0;
};

SimulatedMesh::Shape MakeShape(std::size_t nodes, std::uint32_t slots) {
  SimulatedMesh::Shape shape;
  shape.nodes = nodes;
  shape.slots = slots;
  return shape;
}

CoordinatorSettings MakeSettings() {
  CoordinatorSettings settings;
  settings.settling = milliseconds(300);
  return settings;
}

double Percentile(std::vector<double> values, double percent) {
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(
      percent / 100.0 * static_cast<double>(values.size() - 1));
  return values[index];
}

Figure MeasureLeaseMessages() {
  constexpr seconds kDuration{30};
  SimulatedMesh mesh(1, MakeShape(12, kSlots), MakeSettings());
  mesh.Boot();
  mesh.RunFor(seconds(5));
  const std::uint64_t before = mesh.network().sent();
  mesh.RunFor(kDuration);
  const auto sent = static_cast<double>(mesh.network().sent() - before);
  const double per_node = sent / static_cast<double>(mesh.size());
  return {"lease messages a node and second",
          per_node / static_cast<double>(kDuration.count()), 35};
}

std::size_t OwnSlots(SimulatedMesh& mesh, std::size_t number) {
  std::size_t count = 0;
  for (std::uint32_t slot = 0; slot < kSlots; ++slot) {
    count += mesh.node(number).IsGranted(SlotIndex(slot)) ? 1 : 0;
  }
  return count;
}

// Kills one node after the other; each comes back on a new host and gets a
// share again before the next one goes.
std::vector<Figure> MeasureLosses() {
  std::vector<double> times;
  double lost = 0;
  double moved = 0;
  for (std::uint64_t seed = 0; times.size() < kLosses; ++seed) {
    SimulatedMesh mesh(seed, MakeShape(8, kSlots), MakeSettings());
    mesh.Boot();
    mesh.RunFor(seconds(3));
    for (std::size_t i = 0; i < kLossesPerMesh; ++i) {
      SimulatedNode& node = mesh.node(i % mesh.size());
      mesh.RunFor(mesh.random().Between(milliseconds(0), milliseconds(300)));
      const std::uint64_t moved_before = mesh.moved_slots();
      lost += static_cast<double>(OwnSlots(mesh, node.number()));
      node.Kill();
      node.ReplaceHost();
      const Clock::TimePoint killed = mesh.events().Now();
      while (!mesh.IsEverySlotServed()) {
        mesh.RunFor(kStep);
      }
      const std::chrono::duration<double, std::milli> time =
          mesh.events().Now() - killed;
      times.push_back(time.count());
      moved += static_cast<double>(mesh.moved_slots() - moved_before);
      node.Start();
      mesh.RunFor(seconds(8));
    }
  }
  return {
      {"loss to served again, p50 ms", Percentile(times, 50), 1500},
      {"loss to served again, p99 ms", Percentile(times, 99), 2000},
      {"loss to served again, max ms", Percentile(times, 100), 2500},
      {"slots moved by a loss over the lost node's own", moved / lost, 1.05}};
}

// Every process in turn is killed and started again on its host.
std::vector<Figure> MeasureRollingRestart() {
  SimulatedMesh mesh(1, MakeShape(8, kSlots), MakeSettings());
  mesh.Boot();
  mesh.RunFor(seconds(5));
  const std::uint64_t before = mesh.moved_slots();
  double unserved = 0;
  double longest = 0;
  for (std::size_t i = 0; i < mesh.size(); ++i) {
    const Clock::TimePoint killed = mesh.events().Now();
    mesh.node(i).Kill();
    mesh.RunFor(milliseconds(300));
    mesh.node(i).Start();
    while (!mesh.IsEverySlotServed()) {
      mesh.RunFor(kStep);
    }
    const std::chrono::duration<double, std::milli> time =
        mesh.events().Now() - killed;
    longest = std::max(longest, time.count());
    unserved += time.count();
    mesh.RunFor(seconds(3));
  }
  const auto moved = static_cast<double>(mesh.moved_slots() - before);
  return {{"rolling restart in place, slots moved over all slots",
           moved / kSlots, 0.0},
          {"rolling restart in place, slots unserved, mean ms",
           unserved / static_cast<double>(mesh.size()), 1000},
          {"rolling restart in place, slots unserved, max ms", longest, 1500}};
}

// A node drains and leaves.
std::vector<Figure> MeasureDrain() {
  SimulatedMesh mesh(1, MakeShape(8, kSlots), MakeSettings());
  mesh.Boot();
  mesh.RunFor(seconds(5));
  const std::uint64_t before = mesh.moved_slots();
  const auto own = static_cast<double>(OwnSlots(mesh, 3));
  mesh.node(3).Drain();
  double unserved = 0;
  const Clock::TimePoint end = mesh.events().Now() + seconds(12);
  while (mesh.events().Now() < end) {
    mesh.RunFor(kStep);
    unserved += mesh.IsEverySlotServed() ? 0.0 : 10.0;
  }
  const auto moved = static_cast<double>(mesh.moved_slots() - before);
  return {{"drain, slots moved over the node's own", moved / own, 1.05},
          {"drain, some slot unserved, ms", unserved, 250}};
}

std::vector<Figure> MeasureAll() {
  std::vector<Figure> figures = {MeasureLeaseMessages()};
  for (const auto& measure :
       {MeasureLosses, MeasureRollingRestart, MeasureDrain}) {
    const std::vector<Figure> more = measure();
    figures.insert(figures.end(), more.begin(), more.end());
  }
  return figures;
}

// Prints the figures; false when one is beyond its bound.
bool Report(const std::vector<Figure>& figures) {
  bool within = true;
  for (const Figure& figure : figures) {
    const bool kept = figure.value <= figure.bound;
    within = within && kept;
    std::cout << figure.name << ": " << figure.value << " (bound "
              << figure.bound << (kept ? ")" : ") EXCEEDED") << '\n';
  }
  return within;
}

const AcceptAllConfig kAcceptAll;
const ServiceId kService{WorkspaceName("mesh"), ServiceName("alpha")};

// A mesh of the size aimed at: 600 members, 65,536 slots.
MeshState MakeLargeState() {
  constexpr std::uint32_t kMembers = 600;
  constexpr std::uint32_t kLargeSlots = 65'536;
  MeshState state(kAcceptAll);
  const auto apply = [&state](const Record& record) {
    const LogOffset offset = state.next_offset();
    state.Apply({offset, RecordId(std::to_string(offset.value())), record});
    return offset;
  };
  std::vector<MemberId> members;
  for (std::uint32_t i = 0; i < kMembers; ++i) {
    JoinRecord join;
    join.node = NodeId("node-" + std::to_string(i));
    join.service = kService;
    members.push_back({join.node, Incarnation(apply(join).value())});
  }
  AssignRecord assign{kService, kLargeSlots, 0, {}};
  for (std::uint32_t i = 0; i < kMembers; ++i) {
    std::vector<MemberId> witnesses;
    for (std::uint32_t j = 1; j <= 5; ++j) {
      witnesses.push_back(members[(i + j) % kMembers]);
    }
    const LogOffset set = apply(WitnessSetRecord{members[i], {}, witnesses});
    apply(
        WitnessSetConfirmedRecord{members[i], WitnessSetVersion(set.value())});
    const std::uint32_t first = kLargeSlots * i / kMembers;
    const std::uint32_t next = kLargeSlots * (i + 1) / kMembers;
    assign.runs.push_back({SlotIndex(first), next - first, members[i]});
  }
  apply(assign);
  return state;
}

void BM_ReplayTransferOfOneSlot(benchmark::State& bench) {
  MeshState state = MakeLargeState();
  const std::vector<const Member*> members = state.CurrentMembers();
  const MemberId one = state.FindSlots(kService)->OwnerOf(SlotIndex(0))->owner;
  const MemberId other =
      members[0]->id == one ? members[1]->id : members[0]->id;
  bool there = false;
  for (auto step : bench) {
    const LogOffset offset = state.next_offset();
    const TransferRecord record{there ? other : one,
                                kService,
                                offset,
                                {{SlotIndex(0), 1, there ? one : other}}};
    benchmark::DoNotOptimize(state.Apply({offset, RecordId("id"), record}));
    there = !there;
  }
}
BENCHMARK(BM_ReplayTransferOfOneSlot);

void BM_ReplayWitnessChange(benchmark::State& bench) {
  MeshState state = MakeLargeState();
  const Member first = *state.CurrentMembers()[0];
  std::vector<MemberId> witnesses;
  for (const Witness& witness : first.witnesses.witnesses) {
    witnesses.push_back(witness.member);
  }
  WitnessSetVersion version = first.witnesses.version;
  for (auto step : bench) {
    const LogOffset offset = state.next_offset();
    state.Apply({offset, RecordId("set"),
                 WitnessSetRecord{first.id, version, witnesses}});
    version = WitnessSetVersion(offset.value());
    state.Apply({offset.Next(), RecordId("confirmed"),
                 WitnessSetConfirmedRecord{first.id, version}});
  }
}
BENCHMARK(BM_ReplayWitnessChange);

void BM_ReplayConfig(benchmark::State& bench) {
  MeshState state = MakeLargeState();
  ConfigVersion version;
  for (auto step : bench) {
    const LogOffset offset = state.next_offset();
    state.Apply({offset, RecordId("id"),
                 ConfigRecord{ConfigKind::kService, "mesh/alpha", version, "{}",
                              "operator"}});
    version = ConfigVersion(offset.value());
  }
}
BENCHMARK(BM_ReplayConfig);

void BM_RestoreFromImage(benchmark::State& bench) {
  const MeshImage image = MakeLargeState().Image();
  for (auto step : bench) {
    const MeshState state(kAcceptAll, image);
    benchmark::DoNotOptimize(state.next_offset());
  }
}
BENCHMARK(BM_RestoreFromImage)->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace citrongrade

int main(int argc, char** argv) {
  const bool check = argc > 1 && std::strcmp(argv[1], "--check") == 0;
  const bool within = citrongrade::Report(citrongrade::MeasureAll());
  if (check) {
    return within ? 0 : 1;
  }
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
