// What one decision costs, in ns, for meshes of 11 and of 600 nodes.
#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "modules/coordination/load/admission_controller.h"
#include "modules/coordination/load/poison_detector.h"
#include "modules/coordination/load/slot_move_planner.h"
#include "modules/coordination/load/target_ejection.h"
#include "modules/coordination/load/target_picker.h"
#include "modules/coordination/manual_clock.h"

namespace citrongrade {
namespace {

constexpr std::int64_t kSmallMesh = 11;
constexpr std::int64_t kLargeMesh = 600;
constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kZones = 6;
// 65,536 key slots over 600 nodes.
constexpr std::uint32_t kSlotsPerMember = 109;

TargetId Target(std::int64_t index) {
  return TargetId("10.0.0." + std::to_string(index) + ":8080");
}

AvailabilityZone Zone(std::int64_t index) {
  return AvailabilityZone(
      "zone-" + std::to_string(static_cast<std::size_t>(index) % kZones));
}

MemberId Member(std::int64_t index) {
  return {NodeId("node-" + std::to_string(index)), Incarnation(1)};
}

RequestMetadata Request(std::uint64_t ticket, const Clock& clock) {
  RequestMetadata facts;
  facts.ticket = RequestTicket(ticket);
  facts.caller = CallerHash(ticket % 1000);
  facts.key = KeyHash(ticket % 10'007);
  facts.bytes = 500;
  facts.deadline = clock.Now() + std::chrono::seconds(10);
  return facts;
}

AdmissionController::Parameters WarmTarget() {
  AdmissionController::Parameters parameters;
  parameters.declared_concurrency = 12;
  parameters.connections = 110;
  parameters.starts_cold = false;
  return parameters;
}

void PickTarget(benchmark::State& state) {
  ManualClock clock;
  std::mt19937_64 random(kSeed);
  TargetPicker picker(clock, random, Zone(0));
  for (std::int64_t index = 0; index < state.range(0); ++index) {
    picker.SetTarget({Target(index), Zone(index), 12});
    picker.OnReport(Target(index), 6, std::chrono::milliseconds(0));
  }
  for (auto step : state) {
    const std::optional<TargetId> picked = picker.Pick();
    picker.OnSent(*picked);
    picker.OnFinished(*picked);
  }
}
BENCHMARK(PickTarget)->Arg(kSmallMesh)->Arg(kLargeMesh);

void PollEjection(benchmark::State& state) {
  ManualClock clock;
  std::mt19937_64 random(kSeed);
  TargetEjection ejection(clock, random, TargetEjection::Parameters{});
  for (std::int64_t index = 0; index < state.range(0); ++index) {
    ejection.OnAnnounced(Target(index), false);
    for (int run = 0; run < 20; ++run) {
      ejection.OnSent(Target(index));
      ejection.OnFinished(Target(index), TargetCallOutcome::kDone,
                          std::chrono::milliseconds(20));
    }
  }
  for (auto step : state) {
    ejection.Poll();
  }
}
BENCHMARK(PollEjection)->Arg(kSmallMesh)->Arg(kLargeMesh);

void PlanMoves(benchmark::State& state) {
  ManualClock clock;
  std::mt19937_64 random(kSeed);
  SlotMovePlanner planner(clock, random, SlotMovePlanner::Parameters{});
  std::vector<SlotLoad> slots;
  for (std::uint32_t slot = 0; slot < kSlotsPerMember; ++slot) {
    slots.push_back({SlotIndex(slot), 0.1, KeyLoad{KeyHash(slot), 0.01}});
  }
  std::vector<MemberLoad> members = {{Member(0), 10.9, 12}};
  for (std::int64_t index = 1; index < state.range(0); ++index) {
    members.push_back({Member(index), 6, 12});
  }
  for (auto step : state) {
    clock.Advance(std::chrono::seconds(10));
    benchmark::DoNotOptimize(planner.Plan(Member(0), slots, members));
  }
}
BENCHMARK(PlanMoves)->Arg(kSmallMesh)->Arg(kLargeMesh);

// Independent of the mesh's size: a controller knows its own target only.
void AdmitToFreeSlot(benchmark::State& state) {
  ManualClock clock;
  std::mt19937_64 random(kSeed);
  AdmissionController admission(clock, random, WarmTarget());
  std::uint64_t ticket = 0;
  for (auto step : state) {
    ++ticket;
    admission.Offer(Request(ticket, clock));
    clock.Advance(std::chrono::milliseconds(1));
    admission.OnFinished(RequestTicket(ticket), TargetCallOutcome::kDone,
                         std::chrono::milliseconds(1));
  }
}
BENCHMARK(AdmitToFreeSlot);

// Long enough a wait for the queue to keep its length without credit.
AdmissionController::Parameters PatientTarget() {
  AdmissionController::Parameters parameters = WarmTarget();
  parameters.max_wait_without_credit = std::chrono::seconds(10);
  return parameters;
}

// A full target with `waiting` requests: one comes, one ends, one starts.
void AdmitThroughQueue(benchmark::State& state) {
  ManualClock clock;
  std::mt19937_64 random(kSeed);
  AdmissionController admission(clock, random, PatientTarget());
  std::uint64_t next = 1;
  std::vector<RequestTicket> running;
  while (admission.Status().waiting <
         static_cast<std::size_t>(state.range(0))) {
    const RequestMetadata facts = Request(next++, clock);
    const AdmissionDecision decision = admission.Offer(facts);
    if (decision.verdict == AdmissionDecision::Verdict::kAdmitted) {
      running.push_back(facts.ticket);
    }
    if (decision.refusal) {
      state.SkipWithError("refused while the queue was filled");
      return;
    }
  }
  for (auto step : state) {
    const AdmissionDecision decision = admission.Offer(Request(next++, clock));
    if (decision.verdict != AdmissionDecision::Verdict::kQueued) {
      state.SkipWithError("the queue did not keep its length");
      return;
    }
    clock.Advance(std::chrono::microseconds(10));
    admission.OnFinished(running.back(), TargetCallOutcome::kDone,
                         std::chrono::milliseconds(20));
    running.pop_back();
    for (const RequestTicket ticket : admission.Poll().admitted) {
      running.push_back(ticket);
    }
  }
}
BENCHMARK(AdmitThroughQueue)->Arg(16)->Arg(1024);

void AskPoisonDetector(benchmark::State& state) {
  ManualClock clock;
  PoisonDetector detector(clock, PoisonDetector::Parameters{});
  std::vector<RequestFingerprint> marks;
  for (std::uint64_t mark = 0; mark < 4096; ++mark) {
    marks.emplace_back(mark);
  }
  detector.OnCrash(marks);
  std::uint64_t mark = 0;
  for (auto step : state) {
    benchmark::DoNotOptimize(detector.IsQuarantined(RequestFingerprint(mark)));
    mark = (mark + 7919) % 8192;
  }
}
BENCHMARK(AskPoisonDetector);

}  // namespace
}  // namespace citrongrade

BENCHMARK_MAIN();
