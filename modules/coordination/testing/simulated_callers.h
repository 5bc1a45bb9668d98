#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "modules/coordination/testing/fake_target.h"
#include "modules/coordination/testing/violation.h"
#include "modules/state/request_id_hash.h"
#include "modules/state/service_id.h"

namespace citrongrade {

class EventQueue;
class FakeRandom;
class SimulatedMesh;
class SimulatedNode;
struct Registration;
struct ProtectedRequest;

// Callers of a simulated mesh. Each sends protected requests by way of any
// node, and sends them again with the same id when the outcome is not done;
// they watch that no id runs twice and that no attempt that was told "not run"
// ran.
class SimulatedCallers {
 public:
  using OnViolation = std::function<void(Violation)>;

  // All outlive the callers.
  SimulatedCallers(SimulatedMesh& mesh,
                   EventQueue& events,
                   FakeRandom& random,
                   OnViolation on_violation);

  // Sends new requests from now on, one every 30 ms or so.
  void Start();
  void Stop() { m_sending = false; }

  // A target ran the attempt.
  void OnRun(const RequestIdHash& id, std::uint32_t attempt);

  std::uint64_t done() const { return m_done; }
  std::uint64_t not_run() const { return m_not_run; }
  std::uint64_t unknown() const { return m_unknown; }

 private:
  enum class Outcome : std::uint8_t { kDone, kNotRun, kUnknown };

  struct Request {
    ServiceId service;
    SlotIndex slot;
    RequestIdHash id;
    std::uint32_t attempts = 0;
    std::uint32_t runs = 0;
    std::set<std::uint32_t> told;
    std::set<std::uint32_t> told_not_run;
    std::set<std::uint32_t> ran;
  };

  void SendNext();
  void SendAttempt(std::uint64_t number);
  SimulatedNode* FindOwner(const Request& request);
  void Arrive(SimulatedNode& owner,
              std::uint64_t number,
              std::uint32_t attempt);
  void OnRegistered(SimulatedNode& owner,
                    std::uint64_t number,
                    std::uint32_t attempt,
                    const Registration& registration);
  void Dispatch(SimulatedNode& owner,
                std::uint64_t number,
                std::uint32_t attempt);
  void OnTargetOutcome(SimulatedNode& owner,
                       std::uint64_t number,
                       std::uint32_t attempt,
                       FakeTarget::Outcome outcome);
  void Tell(std::uint64_t number, std::uint32_t attempt, Outcome outcome);
  void CheckNotRun(const Request& request, std::uint32_t attempt);
  ProtectedRequest MakeProtected(const Request& request,
                                 std::uint32_t attempt) const;
  static std::string AnswerFor(const RequestIdHash& id);

  SimulatedMesh* m_mesh;
  EventQueue* m_events;
  FakeRandom* m_random;
  const OnViolation m_on_violation;
  bool m_sending = false;
  std::map<std::uint64_t, Request> m_requests;
  std::uint64_t m_done = 0;
  std::uint64_t m_not_run = 0;
  std::uint64_t m_unknown = 0;
};

}  // namespace citrongrade
