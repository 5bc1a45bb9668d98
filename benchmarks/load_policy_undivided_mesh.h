#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "benchmarks/load_policy_baseline_mesh.h"
#include "benchmarks/load_policy_entry_node.h"
#include "benchmarks/load_policy_mesh.h"
#include "benchmarks/load_policy_target_node.h"

namespace citrongrade {

// The policy for a service that is not divided by key: each of three entry
// nodes, one a zone, picks and ejects on its own; admission at each target's
// node; one retry elsewhere of what was refused. Kin: LoadPolicyDividedMesh.
class LoadPolicyUndividedMesh final : public LoadPolicyMesh,
                                      public LoadPolicyTargetNode::Listener {
 public:
  LoadPolicyUndividedMesh(LoadPolicyEventLoop& event_loop,
                          const LoadPolicyScenario& played,
                          LoadPolicyMesh::Listener& callers,
                          std::uint64_t seed)
      : LoadPolicyMesh(event_loop, played, callers), m_random(seed) {
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      m_entries.push_back(std::make_unique<LoadPolicyEntryNode>(
          loop().clock(), m_random, ZoneOf(zone)));
    }
    for (std::size_t index = 0; index < target_count(); ++index) {
      AddNode(index, false);
    }
    AnnounceRegularly();
    RefreshRegularly();
  }

  void Send(const LoadPolicyRequest& request) override {
    EntryOf(request).retries.OnFirstAttempt();
    SendTo(request, PickerFor(request).Pick());
  }

  void Join() override {
    AddTargetSlots();
    const std::size_t index = target_count() - 1;
    target(index).MakeCold(LoadPolicyBaselineMesh::kColdFactor,
                           LoadPolicyBaselineMesh::kColdRuns);
    AddNode(index, true);
    Announce();
    for (const auto& entry : m_entries) {
      entry->ejection.MarkCold(IdOf(index));
    }
  }

  void MakeLie(std::size_t index) override { m_liars.insert(index); }

 private:
  static constexpr std::size_t kZones = 3;
  static constexpr std::chrono::milliseconds kAnnounceInterval{1000};
  static constexpr std::chrono::milliseconds kReportLag{300};
  static constexpr std::chrono::milliseconds kRefreshInterval{100};
  // What a caller is told when no target may be picked at all.
  static constexpr std::chrono::milliseconds kNobodyRetryAfter{1000};

  static AvailabilityZone ZoneOf(std::size_t index) {
    return AvailabilityZone("zone-" + std::to_string(index % kZones));
  }

  static TargetId IdOf(std::size_t index) {
    return TargetId("target-" + std::to_string(index));
  }

  LoadPolicyEntryNode& EntryOf(const LoadPolicyRequest& request) {
    return *m_entries[request.entry % kZones];
  }

  TargetPicker& PickerFor(const LoadPolicyRequest& request) {
    return EntryOf(request).PickerOf(request.facts.work_class);
  }

  void AddNode(std::size_t index, bool cold) {
    AdmissionController::Parameters parameters;
    parameters.declared_concurrency = scenario().slots_per_target;
    parameters.connections = scenario().connections_per_target;
    parameters.starts_cold = cold;
    m_nodes.push_back(std::make_unique<LoadPolicyTargetNode>(
        loop(), target(index), m_random, parameters, *this));
    m_index_of[IdOf(index)] = index;
    for (const auto& entry : m_entries) {
      for (TargetPicker& picker : entry->pickers) {
        picker.SetTarget(
            {IdOf(index), ZoneOf(index), scenario().slots_per_target});
      }
      entry->ramps.emplace(
          IdOf(index),
          cold ? ColdStartRamp(loop().clock(), ColdStartRamp::Parameters{})
               : ColdStartRamp::Finished(loop().clock()));
    }
  }

  void AnnounceRegularly() {
    Announce();
    loop().After(kAnnounceInterval, [this] { AnnounceRegularly(); });
  }

  void Announce() {
    for (std::size_t index = 0; index < target_count(); ++index) {
      const std::size_t load = m_liars.contains(index) ? 0 : LoadOf(index);
      for (const auto& entry : m_entries) {
        entry->ejection.OnAnnounced(IdOf(index), false);
        for (TargetPicker& picker : entry->pickers) {
          picker.OnReport(IdOf(index), load, kReportLag);
        }
      }
    }
  }

  std::size_t LoadOf(std::size_t index) {
    return target(index).busy() + target(index).queued();
  }

  void RefreshRegularly() {
    for (const auto& entry : m_entries) {
      entry->Refresh();
    }
    loop().After(kRefreshInterval, [this] { RefreshRegularly(); });
  }

  void SendTo(const LoadPolicyRequest& request,
              const std::optional<TargetId>& id) {
    if (!id) {
      listener().OnRefused(request,
                           {RefusalReason::kTargetLeaving, kNobodyRetryAfter},
                           AnyStandsIdle());
      return;
    }
    EntryOf(request).OnSent(*id, request.facts.work_class);
    m_sent_to[request.facts.ticket] = {*id, loop().Now()};
    loop().After(request.facts.deadline - loop().Now(),
                 [this, request] { OnDeadline(request); });
    m_nodes[m_index_of.at(*id)]->Offer(request);
  }

  // The entry stops waiting at the deadline, whatever the target does.
  void OnDeadline(const LoadPolicyRequest& request) {
    EndAtEntry(request, TargetCallOutcome::kUnknown);
  }

  std::optional<TargetId> EndAtEntry(const LoadPolicyRequest& request,
                                     TargetCallOutcome outcome) {
    const auto found = m_sent_to.find(request.facts.ticket);
    if (found == m_sent_to.end()) {
      return std::nullopt;
    }
    const Sent sent = found->second;
    m_sent_to.erase(found);
    EntryOf(request).OnFinished(sent.target, request.facts.work_class, outcome,
                                loop().Now() - sent.at);
    return sent.target;
  }

  void OnRunEnded(const LoadPolicyRequest& request,
                  TargetCallOutcome outcome,
                  Clock::Duration) override {
    EndAtEntry(request, outcome);
    if (outcome == TargetCallOutcome::kDone) {
      listener().OnDone(request);
    }
  }

  void OnTurnedAway(const LoadPolicyRequest& request,
                    const Refusal& refusal,
                    bool) override {
    const auto refused_by = EndAtEntry(request, TargetCallOutcome::kNotRun);
    LoadPolicyEntryNode& entry = EntryOf(request);
    if (refused_by && entry.retries.TryAcquire(request.allowance)) {
      LoadPolicyRequest retry = request;
      retry.allowance = request.allowance.AfterRetry();
      SendTo(retry, PickerFor(retry).Pick(refused_by));
      return;
    }
    listener().OnRefused(request, refusal, AnyStandsIdle());
  }

  // Any target could have done it.
  bool AnyStandsIdle() const {
    return std::any_of(m_nodes.begin(), m_nodes.end(),
                       [](const auto& node) { return node->StandsIdle(); });
  }

  struct Sent {
    TargetId target;
    Clock::TimePoint at;
  };

  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<LoadPolicyEntryNode>> m_entries;
  std::vector<std::unique_ptr<LoadPolicyTargetNode>> m_nodes;
  std::unordered_map<TargetId, std::size_t> m_index_of;
  std::unordered_map<RequestTicket, Sent> m_sent_to;
  std::set<std::size_t> m_liars;
};

}  // namespace citrongrade
