#include "modules/coordination/testing/simulated_callers.h"

#include <memory>
#include <utility>

#include "modules/coordination/protected_request.h"
#include "modules/coordination/registration.h"
#include "modules/coordination/testing/event_queue.h"
#include "modules/coordination/testing/fake_peer_network.h"
#include "modules/coordination/testing/fake_random.h"
#include "modules/coordination/testing/simulated_mesh.h"
#include "modules/coordination/testing/simulated_node.h"

namespace citrongrade {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kCallerPatience{1200};
constexpr std::uint32_t kMaxAttempts = 5;
constexpr milliseconds kResendHorizon{60'000};

bool IsOutcomeUnknown(RequestErrorCode code) {
  return code == RequestErrorCode::kAlreadyRun ||
         code == RequestErrorCode::kInProgress ||
         code == RequestErrorCode::kHistoryLost;
}

}  // namespace

SimulatedCallers::SimulatedCallers(SimulatedMesh& mesh,
                                   EventQueue& events,
                                   FakeRandom& random,
                                   OnViolation on_violation)
    : m_mesh(&mesh),
      m_events(&events),
      m_random(&random),
      m_on_violation(std::move(on_violation)) {}

void SimulatedCallers::Start() {
  m_sending = true;
  SendNext();
}

void SimulatedCallers::SendNext() {
  if (!m_sending) {
    return;
  }
  const std::uint64_t number = m_requests.size() + 1;
  Request request;
  request.service = m_mesh->RandomService();
  request.slot = m_mesh->RandomSlot();
  request.id = {number, number};
  m_requests.emplace(number, std::move(request));
  SendAttempt(number);
  m_events->Schedule(m_random->Between(milliseconds(10), milliseconds(50)),
                     [this] { SendNext(); });
}

void SimulatedCallers::SendAttempt(std::uint64_t number) {
  Request& request = m_requests.at(number);
  const std::uint32_t attempt = ++request.attempts;
  m_events->Schedule(kCallerPatience, [this, number, attempt] {
    Tell(number, attempt, Outcome::kUnknown);
  });
  SimulatedNode* owner = FindOwner(request);
  if (owner == nullptr) {
    Tell(number, attempt, Outcome::kNotRun);
    return;
  }
  owner->RunInProcess(
      m_random->Between(microseconds(300), milliseconds(3)),
      [this, owner, number, attempt] { Arrive(*owner, number, attempt); });
}

SimulatedNode* SimulatedCallers::FindOwner(const Request& request) {
  SimulatedNode* entry = m_mesh->RandomActiveNode();
  if (entry == nullptr) {
    return nullptr;
  }
  const auto view = entry->board().View();
  const auto service = view->services.find(request.service);
  if (service == view->services.end() || service->second.slots == nullptr) {
    return nullptr;
  }
  const auto ownership = service->second.slots->OwnerOf(request.slot);
  if (!ownership.has_value()) {
    return nullptr;
  }
  SimulatedNode* owner = m_mesh->FindNode(ownership->owner.node);
  const bool is_cut = m_mesh->network().IsCut(entry->number(), owner->number());
  return is_cut ? nullptr : owner;
}

void SimulatedCallers::Arrive(SimulatedNode& owner,
                              std::uint64_t number,
                              std::uint32_t attempt) {
  const ProtectedRequest request =
      MakeProtected(m_requests.at(number), attempt);
  const std::uint64_t generation = owner.generation();
  owner.board().Register(request, [this, &owner, number, attempt, generation](
                                      const Registration& registration) {
    // A process that is being killed answers nobody.
    if (owner.IsRunning() && owner.generation() == generation) {
      OnRegistered(owner, number, attempt, registration);
    }
  });
}

void SimulatedCallers::OnRegistered(SimulatedNode& owner,
                                    std::uint64_t number,
                                    std::uint32_t attempt,
                                    const Registration& registration) {
  const Request& request = m_requests.at(number);
  if (registration.refused.has_value()) {
    if (registration.answer != nullptr &&
        registration.answer->body != AnswerFor(request.id)) {
      m_on_violation({Violation::Kind::kWrongAnswer, AnswerFor(request.id)});
    }
    Tell(number, attempt,
         IsOutcomeUnknown(*registration.refused) ? Outcome::kUnknown
                                                 : Outcome::kNotRun);
    return;
  }
  const Clock::Duration wait =
      m_random->Chance(10)
          ? m_random->Between(milliseconds(0), milliseconds(400))
          : m_random->Between(microseconds(0), milliseconds(20));
  owner.RunInProcess(wait, [this, &owner, number, attempt] {
    Dispatch(owner, number, attempt);
  });
}

void SimulatedCallers::Dispatch(SimulatedNode& owner,
                                std::uint64_t number,
                                std::uint32_t attempt) {
  const Request& request = m_requests.at(number);
  const GrantDecision decision =
      owner.board().CheckGrant(request.service, request.slot);
  if (!decision.granted()) {
    owner.board().Withdraw(MakeProtected(request, attempt));
    Tell(number, attempt, Outcome::kNotRun);
    return;
  }
  const std::uint64_t generation = owner.generation();
  m_events->Schedule(
      microseconds(200), [this, &owner, number, attempt, decision, generation] {
        const Request& sent = m_requests.at(number);
        owner.target().Run(sent.slot, decision.epoch, sent.id, attempt,
                           [this, &owner, number, attempt,
                            generation](FakeTarget::Outcome outcome) {
                             if (owner.generation() == generation) {
                               OnTargetOutcome(owner, number, attempt, outcome);
                             }
                           });
      });
}

void SimulatedCallers::OnTargetOutcome(SimulatedNode& owner,
                                       std::uint64_t number,
                                       std::uint32_t attempt,
                                       FakeTarget::Outcome outcome) {
  const Clock::Duration way_back =
      m_random->Between(microseconds(200), milliseconds(30));
  owner.RunInProcess(way_back, [this, &owner, number, attempt, outcome] {
    const Request& request = m_requests.at(number);
    const ProtectedRequest guarded = MakeProtected(request, attempt);
    OwnershipBoard& board = owner.board();
    switch (outcome) {
      case FakeTarget::Outcome::kRan:
        board.Finish(guarded, std::make_shared<const StoredAnswer>(StoredAnswer{
                                  200, "text/plain", AnswerFor(request.id)}));
        Tell(number, attempt, Outcome::kDone);
        break;
      case FakeTarget::Outcome::kRefused:
        board.Withdraw(guarded);
        Tell(number, attempt, Outcome::kNotRun);
        break;
      case FakeTarget::Outcome::kLost:
        board.Finish(guarded, nullptr);
        Tell(number, attempt, Outcome::kUnknown);
        break;
    }
    board.EndWork(request.service, request.slot);
  });
}

void SimulatedCallers::Tell(std::uint64_t number,
                            std::uint32_t attempt,
                            Outcome outcome) {
  Request& request = m_requests.at(number);
  if (!request.told.insert(attempt).second) {
    return;
  }
  m_done += outcome == Outcome::kDone ? 1 : 0;
  m_unknown += outcome == Outcome::kUnknown ? 1 : 0;
  if (outcome == Outcome::kNotRun) {
    ++m_not_run;
    request.told_not_run.insert(attempt);
    CheckNotRun(request, attempt);
  }
  const bool sends_again = request.attempts < kMaxAttempts &&
                           (outcome != Outcome::kDone || m_random->Chance(10));
  if (sends_again) {
    m_events->Schedule(m_random->Between(milliseconds(5), milliseconds(900)),
                       [this, number] { SendAttempt(number); });
  }
}

void SimulatedCallers::OnRun(const RequestIdHash& id, std::uint32_t attempt) {
  Request& request = m_requests.at(id.low);
  request.ran.insert(attempt);
  ++request.runs;
  if (request.runs > 1) {
    m_on_violation({Violation::Kind::kRanTwice, AnswerFor(id)});
  }
  CheckNotRun(request, attempt);
}

void SimulatedCallers::CheckNotRun(const Request& request,
                                   std::uint32_t attempt) {
  if (request.ran.contains(attempt) && request.told_not_run.contains(attempt)) {
    m_on_violation({Violation::Kind::kNotRunThatRan, AnswerFor(request.id)});
  }
}

ProtectedRequest SimulatedCallers::MakeProtected(const Request& request,
                                                 std::uint32_t attempt) const {
  ProtectedRequest guarded;
  guarded.service = request.service;
  guarded.slot = request.slot;
  guarded.id = request.id;
  // Half of the callers say so.
  guarded.is_first_attempt = attempt == 1 && request.id.low % 2 == 0;
  guarded.resend_horizon = kResendHorizon;
  return guarded;
}

std::string SimulatedCallers::AnswerFor(const RequestIdHash& id) {
  return "answer to " + std::to_string(id.low);
}

}  // namespace citrongrade
