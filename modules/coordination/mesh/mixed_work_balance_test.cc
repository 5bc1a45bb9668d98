#include <doctest/doctest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "modules/coordination/load/target_speed_estimator.h"
#include "modules/coordination/manual_clock.h"
#include "modules/coordination/mesh/key_assigner.h"
#include "modules/coordination/mesh/slot_request_counter.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 8;
constexpr std::size_t kTargetCount = 24;
constexpr std::size_t kConcurrency = 13;
constexpr std::array<double, 3> kSpeeds{0.6, 1.0, 1.6};
constexpr double kMeanSpeed = 3.2 / 3;
constexpr double kReportSeconds = 0.3;
constexpr double kCallSeconds = 0.03;
constexpr milliseconds kStep{50};
// Work takes three times as long for 0.4 s in every 2 s.
constexpr milliseconds kBurstPeriod{2000};
constexpr milliseconds kBurstLength{400};
constexpr double kBurstFactor = 3;
constexpr double kMeanBurstFactor = 1.4;
// Part of the capacity that reports use; calls add a sixth of that.
constexpr double kReportUtilization = 0.6;
constexpr double kCallsPerReport = 1.7;
constexpr const char* kService = "divided";

enum class Estimate { kMeanOfLastRuns, kSpeedEstimator };

// A mesh of targets of different speed that get reports of 0.3 s and calls of
// 0.03 s at random keys, and the leader that shares the keys. Moves take effect
// at once.
class MixedMesh {
 public:
  explicit MixedMesh(Estimate estimate) : m_estimate(estimate) {
    spdlog::set_level(spdlog::level::warn);
    m_assigner.AddService(kService);
    for (std::size_t i = 0; i < kTargetCount; ++i) {
      auto target = std::make_unique<Target>(clock);
      target->name = "t" + std::to_string(i);
      target->speed = kSpeeds[i % kSpeeds.size()];
      target->burst_phase = milliseconds(
          m_random() % static_cast<unsigned>(kBurstPeriod.count()));
      m_targets.emplace(target->name, std::move(target));
    }
    SetMembers();
    m_assigner.AssignUnowned();
  }
  ~MixedMesh() { spdlog::set_level(spdlog::level::info); }
  MixedMesh(const MixedMesh&) = delete;
  MixedMesh& operator=(const MixedMesh&) = delete;

  void Run(milliseconds duration) {
    for (milliseconds t{0}; t < duration; t += kStep) {
      clock.Advance(kStep);
      m_now += kStep;
      PlayRequests();
      EndRuns();
      if (m_now % KeyBalancer::kRoundInterval == milliseconds(0))
        PlayRound();
    }
  }

  // Makes 40 % of the requests go to the slots from `first` on.
  void SetHotRange(std::uint32_t first, std::uint32_t slots) {
    m_hot_first = first;
    m_hot_slots = slots;
  }

  // Work for the target by the slots that it owns, relative to its speed.
  double WorstUtilization() const {
    double worst = 0;
    for (const auto& [name, target] : m_targets)
      worst = std::max(
          worst, ShareOf(name) * kMeanSpeed * kTargetCount / target->speed *
                     kReportUtilization *
                     (1 + kCallsPerReport * kCallSeconds / kReportSeconds));
    return worst;
  }

  ManualClock clock;
  std::size_t moved_slots = 0;

 private:
  struct Target {
    explicit Target(const Clock& time) : estimator(time) {}

    std::string name;
    double speed = 1;
    milliseconds burst_phase{0};
    TargetSpeedEstimator estimator;
    SlotRequestCounter counter;
    // Seconds; as TargetAdmission measures it.
    double mean_of_last_runs = kReportSeconds;
  };
  struct EndedRun {
    Target* target = nullptr;
    const char* route = "";
    Clock::Duration run_time{0};
  };

  const KeyTable& table() const { return m_assigner.tables().at(kService); }

  double ShareOf(const std::string& name) const {
    const double hot_share = m_hot_slots > 0 ? kHotShare : 0;
    double share = 0;
    for (const SlotAssignment& run : table().assignments()) {
      if (run.owner != name)
        continue;
      share += run.range.size() * (1 - hot_share) / kSlotCount;
      const std::uint32_t last =
          std::min(run.range.last + 1, m_hot_first + m_hot_slots);
      const std::uint32_t first = std::max(run.range.first, m_hot_first);
      if (m_hot_slots > 0 && last > first)
        share += hot_share * (last - first) / m_hot_slots;
    }
    return share;
  }

  std::uint32_t RandomSlot() {
    if (m_hot_slots > 0 && std::bernoulli_distribution(kHotShare)(m_random))
      return m_hot_first + static_cast<std::uint32_t>(m_random() % m_hot_slots);
    return static_cast<std::uint32_t>(m_random() % kSlotCount);
  }

  void PlayRequests() {
    constexpr double kReportsPerSecond = kReportUtilization * kTargetCount *
                                         kConcurrency * kMeanSpeed /
                                         kReportSeconds / kMeanBurstFactor;
    Start("report", kReportsPerSecond, kReportSeconds);
    Start("call", kReportsPerSecond * kCallsPerReport, kCallSeconds);
  }

  void Start(const char* route, double per_s, double seconds) {
    const double step_s = std::chrono::duration<double>(kStep).count();
    const int count = std::poisson_distribution<>(per_s * step_s)(m_random);
    for (int i = 0; i < count; ++i) {
      const std::uint32_t slot = RandomSlot();
      Target& target = *m_targets.at(table().Find(slot).owner);
      target.counter.Add(slot, m_estimate == Estimate::kSpeedEstimator
                                   ? target.estimator.WeightOf(route)
                                   : 1);
      const bool is_slow =
          (m_now + target.burst_phase) % kBurstPeriod < kBurstLength;
      const double factor = (is_slow ? kBurstFactor : 1) * m_noise(m_random);
      const auto run_time = std::chrono::duration_cast<Clock::Duration>(
          std::chrono::duration<double>(seconds * factor / target.speed));
      m_running.emplace(clock.Now() + run_time,
                        EndedRun{&target, route, run_time});
    }
  }

  void EndRuns() {
    constexpr double kSampleWeight = 0.1;
    while (!m_running.empty() && m_running.begin()->first <= clock.Now()) {
      const EndedRun run = m_running.begin()->second;
      m_running.erase(m_running.begin());
      run.target->estimator.OnRun(run.route, run.run_time);
      double& mean = run.target->mean_of_last_runs;
      const double seconds =
          std::chrono::duration<double>(run.run_time).count();
      mean += kSampleWeight * (seconds - mean);
    }
  }

  double CapacityOf(const Target& target) const {
    if (m_estimate == Estimate::kSpeedEstimator) {
      if (const auto capacity = target.estimator.Capacity(kConcurrency))
        return *capacity;
    }
    return kConcurrency / target.mean_of_last_runs;
  }

  void SetMembers() {
    std::vector<KeyAssigner::Member> members;
    for (const auto& [name, target] : m_targets) {
      KeyAssigner::Member member;
      member.address = name;
      member.service = kService;
      member.may_receive = true;
      member.capacity = CapacityOf(*target);
      members.push_back(member);
    }
    m_assigner.SetMembers(std::move(members));
  }

  void PlayRound() {
    for (const auto& [name, target] : m_targets)
      m_assigner.AddRequestCounts(kService, target->counter.Take());
    SetMembers();
    m_assigner.EndMeasurementRound(
        std::chrono::duration<double>(KeyBalancer::kRoundInterval).count());
    m_assigner.PlanRebalancing();
    const std::vector<SlotAssignment> runs(table().assignments().begin(),
                                           table().assignments().end());
    for (const SlotAssignment& run : runs) {
      if (!run.is_moving())
        continue;
      moved_slots += run.range.size();
      m_assigner.OnReleased(run.owner, {kService, run.range, run.fence, "h"});
    }
    m_assigner.TakeChanges();
    m_assigner.TakeCompletedMoves();
  }

  static constexpr double kHotShare = 0.4;
  // Lognormal with mean 1.
  static constexpr double kSpread = 0.3;
  const Estimate m_estimate;
  std::mt19937_64 m_random{kSeed};
  std::lognormal_distribution<> m_noise{-kSpread * kSpread / 2, kSpread};
  milliseconds m_now{0};
  std::uint32_t m_hot_first = 0;
  std::uint32_t m_hot_slots = 0;
  std::map<std::string, std::unique_ptr<Target>> m_targets;
  KeyAssigner m_assigner{1, {}};
  std::multimap<Clock::TimePoint, EndedRun> m_running;
};

constexpr milliseconds kSettlingTime{30'000};

}  // namespace

// Guards against a fifth of all keys that move each second, all day, each of
// which is out of service meanwhile.
TEST_CASE("steady mixed work with slow bursts moves few keys") {
  std::map<Estimate, std::size_t> moved;
  for (const Estimate estimate :
       {Estimate::kMeanOfLastRuns, Estimate::kSpeedEstimator}) {
    MixedMesh mesh(estimate);
    mesh.Run(kSettlingTime);
    mesh.moved_slots = 0;
    mesh.Run(milliseconds(60'000));
    moved[estimate] = mesh.moved_slots;
    MESSAGE(mesh.moved_slots << " slots moved in 60 s, worst utilization "
                             << mesh.WorstUtilization());
  }
  CHECK(moved[Estimate::kSpeedEstimator] < kSlotCount / 10);
}

// Guards against equal shares for targets of speed 0.6, 1 and 1.6.
TEST_CASE("targets of different speed get mixed work by their speed") {
  MixedMesh mesh(Estimate::kSpeedEstimator);
  mesh.Run(kSettlingTime);
  CHECK(mesh.WorstUtilization() < 0.9);
}

// Guards against a steady capacity that keeps a hot range at its owner: 40 % of
// the requests go to 144 other neighbouring keys each 5 s. Not all changes are
// met within a second, even if the leader knows the true capacities (100 of 120
// in a trial; with the mean of the last runs 24).
TEST_CASE("most hot ranges of mixed work are spread within a second") {
  constexpr std::uint32_t kHotSlots = 144 / kKeysPerSlot;
  constexpr std::uint32_t kChanges = 60;
  constexpr std::uint32_t kDistance = 1300;
  // Slots that can't be divided overload a target up to this.
  constexpr double kMaxUtilization = 1.9;
  MixedMesh mesh(Estimate::kSpeedEstimator);
  mesh.Run(kSettlingTime);
  unsigned within_1_s = 0;
  unsigned within_2_s = 0;
  for (std::uint32_t i = 0; i < kChanges; ++i) {
    mesh.SetHotRange(i * kDistance % (kSlotCount - kHotSlots), kHotSlots);
    mesh.Run(milliseconds(1000));
    within_1_s += mesh.WorstUtilization() < kMaxUtilization ? 1 : 0;
    mesh.Run(milliseconds(1000));
    within_2_s += mesh.WorstUtilization() < kMaxUtilization ? 1 : 0;
    mesh.Run(milliseconds(3000));
  }
  MESSAGE(within_1_s << " within 1 s, " << within_2_s << " within 2 s");
  CHECK(within_1_s >= kChanges * 0.7);
  CHECK(within_2_s >= kChanges * 0.85);
}

}  // namespace citrongrade
