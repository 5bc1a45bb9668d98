#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "benchmarks/load_policy_baseline_mesh.h"
#include "benchmarks/load_policy_mesh.h"
#include "benchmarks/load_policy_target_node.h"
#include "modules/coordination/load/slot_move_planner.h"

namespace citrongrade {

// The policy for a service divided by key: admission at each owner, and moves
// of key slots by each owner's planner. Kin: LoadPolicyUndividedMesh.
class LoadPolicyDividedMesh final : public LoadPolicyMesh,
                                    public LoadPolicyTargetNode::Listener {
 public:
  LoadPolicyDividedMesh(LoadPolicyEventLoop& event_loop,
                        const LoadPolicyScenario& played,
                        LoadPolicyMesh::Listener& callers,
                        std::uint64_t seed)
      : LoadPolicyMesh(event_loop, played, callers), m_random(seed) {
    for (std::size_t index = 0; index < target_count(); ++index) {
      AddNode(index, false);
    }
    for (std::size_t slot = 0; slot < played.key_slots; ++slot) {
      m_slots.push_back({slot % target_count(), {}, 0, 0, {}});
    }
    loop().After(kPlanInterval, [this] { PlanRegularly(); });
  }

  void Send(const LoadPolicyRequest& request) override {
    Slot& slot = m_slots[KeySlotOf(request.facts.key)];
    const double work = std::chrono::duration<double>(request.work).count();
    slot.work += work;
    slot.key_work[request.facts.key] += work;
    if (loop().Now() < slot.moving_until) {
      listener().OnRefused(request, {RefusalReason::kTargetLeaving, kMoveGap},
                           false);
      return;
    }
    m_nodes[slot.owner]->Offer(request);
  }

  void Join() override {
    AddTargetSlots();
    const std::size_t index = target_count() - 1;
    target(index).MakeCold(LoadPolicyBaselineMesh::kColdFactor,
                           LoadPolicyBaselineMesh::kColdRuns);
    AddNode(index, true);
  }

  // Owners take no notice of reported load.
  void MakeLie(std::size_t) override {}

  std::uint64_t moves() const override { return m_moves; }

  std::size_t KeySlotOf(KeyHash key) const override {
    const auto isolated = m_isolated.find(key);
    return isolated == m_isolated.end() ? LoadPolicyMesh::KeySlotOf(key)
                                        : isolated->second.slot;
  }

 private:
  static constexpr std::chrono::seconds kPlanInterval{10};
  // Appending the transfer and reading it back at both ends.
  static constexpr std::chrono::milliseconds kMoveGap{300};
  // Weight of the newest interval in a load.
  static constexpr double kSmoothing = 0.5;
  // An isolated key with less than this share of a member's load goes home.
  static constexpr double kCooledShare = 0.02;

  struct Slot {
    std::size_t owner = 0;
    Clock::TimePoint moving_until;
    double work = 0;
    double load = 0;
    std::unordered_map<KeyHash, double> key_work;
  };

  struct Isolated {
    std::size_t slot = 0;
    std::size_t planner = 0;
  };

  void AddNode(std::size_t index, bool cold) {
    AdmissionController::Parameters parameters;
    parameters.declared_concurrency = scenario().slots_per_target;
    parameters.connections = scenario().connections_per_target;
    parameters.starts_cold = cold;
    m_nodes.push_back(std::make_unique<LoadPolicyTargetNode>(
        loop(), target(index), m_random, parameters, *this));
    m_planners.push_back(std::make_unique<SlotMovePlanner>(
        loop().clock(), m_random, scenario().moves));
  }

  void OnRunEnded(const LoadPolicyRequest& request,
                  TargetCallOutcome outcome,
                  Clock::Duration) override {
    if (outcome == TargetCallOutcome::kDone) {
      listener().OnDone(request);
    }
  }

  void OnTurnedAway(const LoadPolicyRequest& request,
                    const Refusal& refusal,
                    bool while_idle) override {
    listener().OnRefused(request, refusal, while_idle);
  }

  static MemberId MemberOf(std::size_t index) {
    return {NodeId(std::to_string(index)), Incarnation(1)};
  }

  static std::size_t IndexOf(const MemberId& member) {
    return std::stoul(member.node.value());
  }

  void PlanRegularly() {
    SmoothLoads();
    SendCooledKeysHome();
    const std::vector<MemberLoad> members = MemberLoads();
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
      const RebalancingPlan plan =
          m_planners[index]->Plan(MemberOf(index), SlotLoadsOf(index), members);
      CarryOut(index, plan);
    }
    for (Slot& slot : m_slots) {
      slot.key_work.clear();
    }
    loop().After(kPlanInterval, [this] { PlanRegularly(); });
  }

  void SmoothLoads() {
    const double seconds = std::chrono::duration<double>(kPlanInterval).count();
    for (Slot& slot : m_slots) {
      const double newest = slot.work / seconds;
      slot.load += kSmoothing * (newest - slot.load);
      slot.work = 0;
    }
  }

  std::vector<MemberLoad> MemberLoads() const {
    std::vector<MemberLoad> members;
    const auto capacity = static_cast<double>(scenario().slots_per_target);
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
      members.push_back({MemberOf(index), 0, capacity});
    }
    for (const Slot& slot : m_slots) {
      members[slot.owner].load += slot.load;
    }
    return members;
  }

  std::vector<SlotLoad> SlotLoadsOf(std::size_t owner) const {
    std::vector<SlotLoad> loads;
    for (std::size_t index = 0; index < m_slots.size(); ++index) {
      const Slot& slot = m_slots[index];
      if (slot.owner == owner) {
        loads.push_back({SlotIndex(static_cast<std::uint32_t>(index)),
                         slot.load, HottestKey(slot)});
      }
    }
    return loads;
  }

  static std::optional<KeyLoad> HottestKey(const Slot& slot) {
    if (slot.key_work.size() < 2) {
      return std::nullopt;
    }
    KeyLoad hottest;
    double sum = 0;
    for (const auto& [key, work] : slot.key_work) {
      sum += work;
      if (work > hottest.load) {
        hottest = {key, work};
      }
    }
    hottest.load *= slot.load / sum;
    return hottest;
  }

  void CarryOut(std::size_t planner, const RebalancingPlan& plan) {
    for (const KeyIsolation& isolation : plan.isolations) {
      Slot& home = m_slots[isolation.from.value()];
      const double share = HottestKey(home)->load;
      home.load -= share;
      m_isolated[isolation.key] = {m_slots.size(), planner};
      m_slots.push_back(
          {IndexOf(isolation.to), loop().Now() + kMoveGap, 0, share, {}});
      ++m_moves;
    }
    for (const SlotMove& move : plan.moves) {
      Slot& slot = m_slots[move.slot.value()];
      slot.owner = IndexOf(move.to);
      slot.moving_until = loop().Now() + kMoveGap;
      ++m_moves;
    }
  }

  void SendCooledKeysHome() {
    double total = 0;
    for (const Slot& slot : m_slots) {
      total += slot.load;
    }
    const double least =
        kCooledShare * total / static_cast<double>(m_nodes.size());
    for (auto isolated = m_isolated.begin(); isolated != m_isolated.end();) {
      if (m_slots[isolated->second.slot].load >= least) {
        ++isolated;
        continue;
      }
      m_slots[isolated->second.slot].load = 0;
      m_planners[isolated->second.planner]->OnIsolationEnded();
      isolated = m_isolated.erase(isolated);
      ++m_moves;
    }
  }

  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<LoadPolicyTargetNode>> m_nodes;
  std::vector<std::unique_ptr<SlotMovePlanner>> m_planners;
  // The service's key slots, then those that single keys were given.
  std::vector<Slot> m_slots;
  std::map<KeyHash, Isolated> m_isolated;
  std::uint64_t m_moves = 0;
};

}  // namespace citrongrade
