#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <unordered_map>

#include "benchmarks/load_policy_event_loop.h"
#include "benchmarks/load_policy_request.h"
#include "benchmarks/load_policy_target.h"
#include "modules/coordination/load/admission_controller.h"

namespace citrongrade {

// One target with its node's admission in front, wired as a node wires it.
class LoadPolicyTargetNode {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnRunEnded(const LoadPolicyRequest& request,
                            TargetCallOutcome outcome,
                            Clock::Duration latency) = 0;
    virtual void OnTurnedAway(const LoadPolicyRequest& request,
                              const Refusal& refusal,
                              bool while_idle) = 0;
  };

  LoadPolicyTargetNode(LoadPolicyEventLoop& loop,
                       LoadPolicyTarget& target,
                       std::mt19937_64& random,
                       const AdmissionController::Parameters& parameters,
                       Listener& listener)
      : m_loop(loop),
        m_target(target),
        m_listener(listener),
        m_admission(loop.clock(), random, parameters) {
    PollRegularly();
  }

  void Offer(const LoadPolicyRequest& request) {
    const AdmissionDecision decision = m_admission.Offer(request.facts);
    if (decision.refusal) {
      m_listener.OnTurnedAway(request, *decision.refusal, StandsIdle());
      return;
    }
    m_requests[request.facts.ticket] = request;
    if (decision.verdict == AdmissionDecision::Verdict::kAdmitted) {
      Run(request);
    }
    Poll();
  }

  // A place is free and nobody waits for it. Between two runs a place is free
  // for the time of two hops while others wait; that is not idleness.
  bool StandsIdle() const {
    const AdmissionStatus status = m_admission.Status();
    return m_target.HasIdleSlot() && status.running < status.limit &&
           status.waiting == 0;
  }

 private:
  // From a node to its own target and back, over loopback.
  static constexpr std::chrono::microseconds kHop{100};

  void PollRegularly() {
    Poll();
    m_loop.After(AdmissionController::kPollInterval,
                 [this] { PollRegularly(); });
  }

  void Poll() {
    const AdmissionChanges changes = m_admission.Poll();
    for (const RequestTicket ticket : changes.admitted) {
      Run(m_requests.at(ticket));
    }
    for (const RefusedRequest& refused : changes.refused) {
      const LoadPolicyRequest request = Take(refused.ticket);
      m_listener.OnTurnedAway(request, refused.refusal, StandsIdle());
    }
    for (const RequestTicket ticket : changes.overdue) {
      CancelAtTarget(ticket);
    }
  }

  void Run(const LoadPolicyRequest& request) {
    const Clock::TimePoint given = m_loop.Now();
    m_given[request.facts.ticket] = given;
    m_loop.After(kHop, [this, request, given] {
      m_target.Run(request, [this, request, given](Clock::Duration) {
        m_loop.After(kHop, [this, request, given] {
          OnEnd(request.facts.ticket, TargetCallOutcome::kDone,
                m_loop.Now() - given);
        });
      });
    });
  }

  void CancelAtTarget(RequestTicket ticket) {
    if (m_target.Cancel(ticket)) {
      OnEnd(ticket, TargetCallOutcome::kUnknown,
            m_loop.Now() - m_given.at(ticket));
    }
  }

  void OnEnd(RequestTicket ticket,
             TargetCallOutcome outcome,
             Clock::Duration latency) {
    m_admission.OnFinished(ticket, outcome, latency);
    const LoadPolicyRequest request = Take(ticket);
    m_listener.OnRunEnded(request, outcome, latency);
    Poll();
  }

  LoadPolicyRequest Take(RequestTicket ticket) {
    const LoadPolicyRequest request = m_requests.at(ticket);
    m_requests.erase(ticket);
    m_given.erase(ticket);
    return request;
  }

  LoadPolicyEventLoop& m_loop;
  LoadPolicyTarget& m_target;
  Listener& m_listener;
  AdmissionController m_admission;
  std::unordered_map<RequestTicket, LoadPolicyRequest> m_requests;
  std::unordered_map<RequestTicket, Clock::TimePoint> m_given;
};

}  // namespace citrongrade
