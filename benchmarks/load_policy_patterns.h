#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "benchmarks/load_policy_mesh.h"
#include "benchmarks/load_policy_scenario.h"
#include "benchmarks/load_policy_stream.h"

namespace citrongrade {

// The patterns of load that the decisions answer, on the users' meshes.
class LoadPolicyPatterns {
 public:
  using Scenario = LoadPolicyScenario;
  using Stream = LoadPolicyStream;
  using Random = std::mt19937_64;

  static std::vector<Scenario> All() {
    return {AudienceOfAuditors(),
            AudienceOfVessels(),
            FewCallers(),
            FewKeys(),
            MovingHotKey("moving-hot-key-institute", 4, 1),
            MovingHotKey("moving-hot-key-port", 1, 4),
            SlowTarget(),
            FrozenTarget(),
            MeshWideSlowdown(),
            LyingTarget(),
            ShortAlone(),
            LongAmongShort(),
            Saturation("saturation-1x", 1.0),
            Saturation("saturation-1.5x", 1.5),
            Saturation("saturation-3x", 3.0),
            RecoveryFromSaturation(),
            ColdJoinDivided(),
            ColdJoinUndivided(),
            ResendersAfterOutage()};
  }

 private:
  using Milliseconds = std::chrono::milliseconds;
  using Seconds = std::chrono::seconds;

  static constexpr std::uint64_t kCallers = 400;
  static constexpr std::uint64_t kKeys = 5000;

  // Fibonacci hashing: neighbouring numbers land far apart, as hashes do.
  static std::uint64_t Scatter(std::uint64_t number) {
    return (number + 1) * 0x9E3779B97F4A7C15ULL >> 16U;
  }

  static std::uint64_t AnyOf(Random& random, std::uint64_t count) {
    return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(random);
  }

  static double Capacity(const Scenario& scenario, Milliseconds work) {
    const double slots =
        static_cast<double>(scenario.targets * scenario.slots_per_target);
    return slots / std::chrono::duration<double>(work).count();
  }

  // Even callers, even keys, at `load` times the capacity.
  static Stream EvenStream(const Scenario& scenario,
                           Milliseconds work,
                           double load) {
    Stream stream;
    const double rate = load * Capacity(scenario, work);
    stream.work = work;
    stream.rate = [rate](Clock::Duration) { return rate; };
    stream.caller = [](Random& random) { return AnyOf(random, kCallers); };
    stream.key = [](Random& random, Clock::Duration) {
      return Scatter(AnyOf(random, kKeys));
    };
    return stream;
  }

  static Scenario Sorteio(std::string name) {
    Scenario scenario;
    scenario.name = std::move(name);
    return scenario;
  }

  static Scenario BerthBoard(std::string name) {
    Scenario scenario = Sorteio(std::move(name));
    scenario.targets = 8;
    scenario.slots_per_target = 9;
    scenario.connections_per_target = 70;
    scenario.key_slots = 512;
    return scenario;
  }

  static Scenario Evidencia(std::string name) {
    Scenario scenario = Sorteio(std::move(name));
    scenario.divided_by_key = false;
    scenario.targets = 3;
    return scenario;
  }

  static Scenario SurveyArchive(std::string name) {
    Scenario scenario = Evidencia(std::move(name));
    scenario.slots_per_target = 9;
    scenario.connections_per_target = 70;
    return scenario;
  }

  // A fifth of the capacity; within the minute from 0:30 on, up to twice the
  // capacity and down again.
  static Scenario Audience(Scenario scenario) {
    scenario.duration = Seconds(150);
    scenario.most_resends = 5;
    Stream stream = EvenStream(scenario, Milliseconds(40), 1);
    const double capacity = Capacity(scenario, stream.work);
    stream.patience = Milliseconds(10'000);
    stream.caller = [](Random& random) { return AnyOf(random, 20'000); };
    stream.rate = [capacity](Clock::Duration elapsed) {
      const double second = std::chrono::duration<double>(elapsed).count();
      const double from_peak = std::abs(second - 60) / 30;
      return capacity * (0.2 + 1.8 * std::max(0.0, 1 - from_peak));
    };
    scenario.streams.push_back(stream);
    return scenario;
  }

  static Scenario AudienceOfAuditors() {
    return Audience(Sorteio("audience-auditors"));
  }

  static Scenario AudienceOfVessels() {
    return Audience(BerthBoard("audience-vessels"));
  }

  // Twenty callers with a fair share of a twentieth each. Nineteen send just
  // that, one sends ten times as much.
  static Scenario FewCallers() {
    Scenario scenario = Sorteio("few-callers");
    Stream fair = EvenStream(scenario, Milliseconds(40), 0.95);
    fair.well_behaved = true;
    fair.caller = [](Random& random) { return 1 + AnyOf(random, 19); };
    Stream greedy = EvenStream(scenario, Milliseconds(40), 0.5);
    greedy.caller = [](Random&) { return 0; };
    scenario.streams = {fair, greedy};
    return scenario;
  }

  // Seven keys have 56 of 100 requests, at 0.7 of the capacity.
  static Scenario FewKeys() {
    Scenario scenario = Sorteio("few-keys");
    scenario.duration = Seconds(300);
    Stream others = EvenStream(scenario, Milliseconds(50), 0.7 * 0.44);
    others.well_behaved = true;
    Stream hot = EvenStream(scenario, Milliseconds(50), 0.7 * 0.56);
    hot.key = [](Random& random, Clock::Duration) {
      return Scatter(kKeys + AnyOf(random, 7));
    };
    scenario.streams = {others, hot};
    return scenario;
  }

  // One key with 10 of 100 requests, another one every three minutes.
  static Scenario MovingHotKey(std::string name,
                               double churn_weight,
                               double unavailability_weight) {
    Scenario scenario = Sorteio(std::move(name));
    scenario.duration = Seconds(900);
    scenario.moves.churn_weight = churn_weight;
    scenario.moves.unavailability_weight = unavailability_weight;
    scenario.steady_part = 0.8;
    const Stream others = EvenStream(scenario, Milliseconds(100), 0.7 * 0.9);
    Stream hot = EvenStream(scenario, Milliseconds(100), 0.7 * 0.1);
    hot.key = [](Random&, Clock::Duration elapsed) {
      const auto turn = std::chrono::floor<Seconds>(elapsed) / Seconds(180);
      return Scatter(kKeys + static_cast<std::uint64_t>(turn));
    };
    scenario.streams = {others, hot};
    return scenario;
  }

  static Scenario UndividedAt(std::string name, double load) {
    Scenario scenario = Evidencia(std::move(name));
    scenario.duration = Seconds(100);
    scenario.streams = {EvenStream(scenario, Milliseconds(20), load)};
    return scenario;
  }

  static Scenario SlowTarget() {
    Scenario scenario = UndividedAt("slow-target", 0.55);
    scenario.incidents = {{Milliseconds(20'000), [](LoadPolicyMesh& mesh) {
                             mesh.target(0).SetSlowdown(10);
                           }}};
    return scenario;
  }

  static Scenario FrozenTarget() {
    Scenario scenario = UndividedAt("frozen-target", 0.55);
    scenario.incidents = {
        {Milliseconds(20'000),
         [](LoadPolicyMesh& mesh) { mesh.target(0).Freeze(); }},
        {Milliseconds(45'000),
         [](LoadPolicyMesh& mesh) { mesh.target(0).Thaw(); }}};
    return scenario;
  }

  // A store behind all targets is slow for a while.
  static Scenario MeshWideSlowdown() {
    Scenario scenario = UndividedAt("mesh-wide-slowdown", 0.2);
    const auto set_all = [](LoadPolicyMesh& mesh, double factor) {
      for (std::size_t index = 0; index < mesh.target_count(); ++index) {
        mesh.target(index).SetSlowdown(factor);
      }
    };
    scenario.incidents = {
        {Milliseconds(20'000),
         [set_all](LoadPolicyMesh& mesh) { set_all(mesh, 4); }},
        {Milliseconds(45'000),
         [set_all](LoadPolicyMesh& mesh) { set_all(mesh, 1); }}};
    return scenario;
  }

  // Takes twice as long as the others, and reports that it is idle.
  static Scenario LyingTarget() {
    Scenario scenario = UndividedAt("lying-target", 0.6);
    scenario.incidents = {{Milliseconds(1000), [](LoadPolicyMesh& mesh) {
                             mesh.MakeLie(0);
                             mesh.target(0).SetSlowdown(2);
                           }}};
    return scenario;
  }

  static Scenario ShortAlone() {
    Scenario scenario = SurveyArchive("short-alone");
    scenario.duration = Seconds(120);
    scenario.streams = {EvenStream(scenario, Milliseconds(20), 0.35)};
    return scenario;
  }

  // The same short work, and uploads that would fill half of the slots.
  static Scenario LongAmongShort() {
    Scenario scenario = ShortAlone();
    scenario.name = "long-among-short";
    Stream uploads = EvenStream(scenario, Milliseconds(500), 0.5);
    uploads.work_class = WorkClass::kLong;
    uploads.bytes = std::size_t{1} << 20U;
    uploads.patience = Milliseconds(10'000);
    scenario.streams.push_back(uploads);
    return scenario;
  }

  static Scenario Saturation(std::string name, double load) {
    Scenario scenario = Sorteio(std::move(name));
    scenario.duration = Seconds(180);
    scenario.streams = {EvenStream(scenario, Milliseconds(50), load)};
    return scenario;
  }

  // Three times the capacity for two minutes, then 0.7 of it for one.
  static Scenario RecoveryFromSaturation() {
    Scenario scenario = Saturation("recovery-from-3x", 1);
    scenario.steady_part = 1.0 / 3 - 0.03;
    const double capacity = Capacity(scenario, Milliseconds(50));
    scenario.streams[0].rate = [capacity](Clock::Duration elapsed) {
      return elapsed < Seconds(120) ? 3 * capacity : 0.7 * capacity;
    };
    return scenario;
  }

  static Scenario ColdJoinDivided() {
    Scenario scenario = Sorteio("cold-join-divided");
    scenario.duration = Seconds(240);
    scenario.streams = {EvenStream(scenario, Milliseconds(50), 0.9)};
    scenario.incidents = {
        {Milliseconds(30'000), [](LoadPolicyMesh& mesh) { mesh.Join(); }}};
    return scenario;
  }

  static Scenario ColdJoinUndivided() {
    Scenario scenario = UndividedAt("cold-join-undivided", 0.9);
    scenario.incidents = {
        {Milliseconds(30'000), [](LoadPolicyMesh& mesh) { mesh.Join(); }}};
    return scenario;
  }

  // All targets stand still for ten seconds; callers send all they lose again.
  static Scenario ResendersAfterOutage() {
    Scenario scenario = Sorteio("resenders-after-outage");
    scenario.duration = Seconds(120);
    scenario.most_resends = 50;
    scenario.steady_part = 0.5;
    scenario.streams = {EvenStream(scenario, Milliseconds(50), 0.7)};
    scenario.incidents = {
        {Milliseconds(20'000), [](LoadPolicyMesh& mesh) { FreezeAll(mesh); }},
        {Milliseconds(30'000), [](LoadPolicyMesh& mesh) { ThawAll(mesh); }}};
    return scenario;
  }

  static void FreezeAll(LoadPolicyMesh& mesh) {
    for (std::size_t index = 0; index < mesh.target_count(); ++index) {
      mesh.target(index).Freeze();
    }
  }

  static void ThawAll(LoadPolicyMesh& mesh) {
    for (std::size_t index = 0; index < mesh.target_count(); ++index) {
      mesh.target(index).Thaw();
    }
  }
};

}  // namespace citrongrade
