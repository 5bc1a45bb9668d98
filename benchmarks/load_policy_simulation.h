#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <unordered_set>

#include "benchmarks/load_policy_baseline_mesh.h"
#include "benchmarks/load_policy_divided_mesh.h"
#include "benchmarks/load_policy_event_loop.h"
#include "benchmarks/load_policy_mesh.h"
#include "benchmarks/load_policy_recorder.h"
#include "benchmarks/load_policy_results.h"
#include "benchmarks/load_policy_scenario.h"
#include "benchmarks/load_policy_undivided_mesh.h"

namespace citrongrade {

// Plays one scenario against one mesh. Callers draw from a random source of
// their own, so that policy and baseline meet the same first tries.
class LoadPolicySimulation : public LoadPolicyMesh::Listener {
 public:
  enum class Side { kPolicy, kBaseline };

  LoadPolicySimulation(const LoadPolicyScenario& scenario, Side side)
      : m_scenario(scenario),
        m_recorder(m_loop, m_scenario),
        m_mesh(MakeMesh(side)) {}

  LoadPolicyResults Run() {
    for (std::size_t index = 0; index < m_scenario.streams.size(); ++index) {
      ScheduleNext(index);
    }
    for (const LoadPolicyScenario::Incident& incident : m_scenario.incidents) {
      m_loop.After(incident.at,
                   [this, &incident] { incident.strike(*m_mesh); });
    }
    CloseWindows();
    m_loop.RunUntil(m_scenario.duration);
    return m_recorder.Results(*m_mesh);
  }

 private:
  static constexpr std::uint64_t kCallerSeed = 20240607;
  static constexpr std::uint64_t kMeshSeed = 4711;
  static constexpr std::chrono::seconds kWindow{30};
  // How often a stream without a rate now is asked again.
  static constexpr std::chrono::milliseconds kQuietStep{100};

  std::unique_ptr<LoadPolicyMesh> MakeMesh(Side side) {
    if (side == Side::kBaseline) {
      return std::make_unique<LoadPolicyBaselineMesh>(m_loop, m_scenario,
                                                      *this);
    }
    if (m_scenario.divided_by_key) {
      return std::make_unique<LoadPolicyDividedMesh>(m_loop, m_scenario, *this,
                                                     kMeshSeed);
    }
    return std::make_unique<LoadPolicyUndividedMesh>(m_loop, m_scenario, *this,
                                                     kMeshSeed);
  }

  void CloseWindows() {
    m_loop.After(kWindow, [this] {
      m_recorder.OnWindowEnd(*m_mesh);
      CloseWindows();
    });
  }

  void ScheduleNext(std::size_t stream) {
    const double rate = m_scenario.streams[stream].rate(m_loop.Elapsed());
    if (rate <= 0) {
      m_loop.After(kQuietStep, [this, stream] { ScheduleNext(stream); });
      return;
    }
    std::exponential_distribution<double> gap(rate);
    const std::chrono::duration<double> seconds(gap(m_random));
    m_loop.After(std::chrono::duration_cast<Clock::Duration>(seconds),
                 [this, stream] {
                   FirstTry(stream);
                   ScheduleNext(stream);
                 });
  }

  void FirstTry(std::size_t index) {
    const LoadPolicyStream& stream = m_scenario.streams[index];
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    LoadPolicyRequest request;
    request.stream = index;
    request.facts.caller = CallerHash(stream.caller(m_random));
    request.facts.key = KeyHash(stream.key(m_random, m_loop.Elapsed()));
    request.facts.work_class = stream.work_class;
    request.facts.bytes = stream.bytes;
    request.work = std::chrono::duration_cast<Clock::Duration>(
        stream.work * spread(m_random));
    request.entry = m_random();
    Send(request);
  }

  void Send(LoadPolicyRequest request) {
    request.facts.ticket = m_next_ticket;
    m_next_ticket = m_next_ticket.Next();
    request.sent = m_loop.Now();
    request.facts.deadline =
        request.sent + m_scenario.streams[request.stream].patience;
    request.allowance = RetryAllowance{1};
    m_open.insert(request.facts.ticket);
    m_recorder.OnTry(request, m_mesh->KeySlotOf(request.facts.key));
    if (m_scenario.most_resends > 0) {
      m_loop.After(request.facts.deadline - request.sent,
                   [this, request] { OnPatienceOver(request); });
    }
    m_mesh->Send(request);
  }

  void OnDone(const LoadPolicyRequest& request) override {
    if (m_loop.Now() > request.facts.deadline ||
        m_open.erase(request.facts.ticket) == 0) {
      return;
    }
    m_recorder.OnAnsweredInTime(request, m_mesh->KeySlotOf(request.facts.key));
  }

  void OnRefused(const LoadPolicyRequest& request,
                 const Refusal& refusal,
                 bool while_idle) override {
    if (m_open.erase(request.facts.ticket) == 0) {
      return;
    }
    m_recorder.OnRefused(request, while_idle);
    ResendAfter(request, refusal.retry_after);
  }

  // Callers that are told nothing send again at once.
  void OnPatienceOver(const LoadPolicyRequest& request) {
    if (m_open.erase(request.facts.ticket) > 0) {
      ResendAfter(request, std::chrono::milliseconds(0));
    }
  }

  void ResendAfter(LoadPolicyRequest request, std::chrono::milliseconds pause) {
    if (request.resends >= m_scenario.most_resends) {
      return;
    }
    ++request.resends;
    m_loop.After(pause, [this, request] { Send(request); });
  }

  const LoadPolicyScenario m_scenario;
  LoadPolicyEventLoop m_loop;
  LoadPolicyRecorder m_recorder;
  std::unique_ptr<LoadPolicyMesh> m_mesh;
  std::mt19937_64 m_random{kCallerSeed};
  std::unordered_set<RequestTicket> m_open;
  RequestTicket m_next_ticket{1};
};

}  // namespace citrongrade
