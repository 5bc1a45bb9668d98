#include <doctest/doctest.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "modules/coordination/testing/failure_player.h"
#include "modules/coordination/testing/simulated_mesh.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSchedules = 200;
constexpr unsigned kThreads = 4;

struct Schedule {
  std::uint64_t seed = 0;
  SimulatedMesh::Shape shape;
  FailurePlayer::Failure first = FailurePlayer::Failure::kPause;
  // Equal to the first: that one alone.
  FailurePlayer::Failure second = FailurePlayer::Failure::kPause;
};

// Goes through all failures alone and in pairs, in order of seed.
Schedule MakeSchedule(std::uint64_t seed) {
  Schedule schedule;
  schedule.seed = seed;
  schedule.first =
      static_cast<FailurePlayer::Failure>(seed % FailurePlayer::kFailureCount);
  schedule.second = static_cast<FailurePlayer::Failure>(
      seed / FailurePlayer::kFailureCount % FailurePlayer::kFailureCount);
  schedule.shape.nodes = 3 + seed % 5;
  schedule.shape.two_services = schedule.shape.nodes >= 5 && seed % 2 == 0;
  schedule.shape.targets_check_grants = seed % 3 != 0;
  return schedule;
}

std::vector<Violation> Play(const Schedule& schedule,
                            const Safeguards& safeguards) {
  SimulatedMesh mesh(schedule.seed, schedule.shape,
                     SimulatedMesh::TestSettings(), safeguards);
  if (!mesh.Boot()) {
    return {{Violation::Kind::kNotServedAgain, "never booted"}};
  }
  mesh.callers().Start();
  mesh.RunFor(milliseconds(200));
  FailurePlayer player(mesh);
  player.Play(schedule.first);
  if (schedule.second != schedule.first) {
    mesh.RunFor(mesh.random().Between(milliseconds(0), milliseconds(1500)));
    player.Play(schedule.second);
  }
  mesh.RunFor(milliseconds(4500));
  mesh.HealAndCheck();
  return mesh.violations();
}

std::string Describe(const Schedule& schedule, const Violation& violation) {
  return "seed " + std::to_string(schedule.seed) + " (" +
         FailurePlayer::NameOf(schedule.first) + ", " +
         FailurePlayer::NameOf(schedule.second) + ", " +
         std::to_string(schedule.shape.nodes) + " nodes): kind " +
         std::to_string(static_cast<int>(violation.kind)) + ", " +
         violation.detail;
}

void ForEachSeed(std::uint64_t begin,
                 std::uint64_t end,
                 const std::function<void(std::uint64_t)>& play) {
  std::atomic<std::uint64_t> next(begin);
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < kThreads; ++i) {
    threads.emplace_back([&next, end, &play] {
      for (std::uint64_t seed = next++; seed < end; seed = next++) {
        play(seed);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace

// What the callers of a mesh are promised holds through every failure, alone
// and in pairs: one valid owner a slot, no id run twice, no "not run" that ran,
// no configuration that reverts; and once all has healed, every slot is served.
TEST_CASE("10,000 schedules of failures break no promise") {
  std::mutex mutex;
  std::vector<std::string> found;
  ForEachSeed(0, kSchedules, [&mutex, &found](std::uint64_t seed) {
    const Schedule schedule = MakeSchedule(seed);
    const std::vector<Violation> violations = Play(schedule, {});
    const std::lock_guard lock(mutex);
    if (!violations.empty()) {
      found.push_back(Describe(schedule, violations.front()));
    }
  });
  for (const std::string& violation : found) {
    MESSAGE(violation);
  }
  CHECK(found.empty());
}

}  // namespace citrongrade
