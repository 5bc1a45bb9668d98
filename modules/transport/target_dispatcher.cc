#include "modules/transport/target_dispatcher.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/admission_changes.h"
#include "modules/coordination/load/admission_controller.h"
#include "modules/coordination/load/poison_detector.h"
#include "modules/coordination/request_guard.h"
#include "modules/transport/body_pipe.h"
#include "modules/transport/bounded_ring.h"
#include "modules/transport/local_run.h"
#include "modules/transport/local_run_facts.h"
#include "modules/transport/refusals.h"
#include "modules/transport/request_transfer.h"
#include "modules/transport/target_call.h"
#include "modules/transport/target_canceller.h"
#include "modules/transport/target_connection_pool.h"
#include "modules/transport/thread_name.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kRetryAfterNoTarget{1000};
constexpr std::chrono::milliseconds kRetryAfterNoGrant{250};
constexpr std::size_t kRunRing = 4096;
constexpr std::size_t kMaxThreads = 256;

}  // namespace

class TargetDispatcher::Implementation {
 public:
  Implementation(const Clock& clock, RequestGuard& guard);
  ~Implementation();

  void OnAnnouncement(const TargetAnnouncement& announcement);
  void Carry(const std::shared_ptr<RequestTransfer>& transfer);
  std::optional<TargetAnnouncement> target() const;
  Status GetStatus() const;

 private:
  using RunPointer = std::shared_ptr<LocalRun>;

  // Why no request may be taken now; nothing when it may.
  std::optional<AnswerHead> FindObstacle(const ForwardedRequest& request);
  void Register(const RunPointer& run);
  void OnRegistered(const RunPointer& run, const Registration& registration);
  void AnswerFromMemory(LocalRun& run, const Registration& registration);
  void Offer(const RunPointer& run);
  void OnCancel(RequestTicket ticket);
  void Poll();
  // What to do once the lock is free.
  struct Steps {
    std::vector<RunPointer> start;
    std::vector<std::pair<RunPointer, AnswerHead>> refuse;
    std::vector<RunPointer> cancel;
  };
  Steps TakeSteps();
  void Perform(const Steps& steps);
  void RefuseRun(LocalRun& run, AnswerHead refusal);
  void PoolThread();
  void TickThread();
  void Execute(const RunPointer& run);
  // Whether the target may be given the request now, as the last step before.
  GrantDecision CheckLast(const ForwardedRequest& request);
  void Settle(LocalRun& run, const TargetCall::Result& result);
  void NoteHealth(const LocalRun& run,
                  const TargetCall::Result& result,
                  bool crashed);
  void Remove(RequestTicket ticket);

  const Clock& m_clock;
  RequestGuard& m_guard;
  mutable std::mutex m_mutex;
  std::mt19937_64 m_random{std::random_device()()};
  std::optional<TargetAnnouncement> m_target;
  Clock::TimePoint m_announced;
  std::shared_ptr<TargetConnectionPool> m_pool;
  std::unique_ptr<AdmissionController> m_admission;
  PoisonDetector m_poison;
  std::map<RequestTicket, RunPointer> m_runs;
  RequestTicket m_next_ticket{1};
  bool m_crash_noted = false;
  Status m_counts;
  TargetCanceller m_canceller;
  BoundedRing<RunPointer> m_ring;
  std::vector<std::thread> m_threads;
  std::condition_variable m_stopping;
  bool m_stop = false;
  std::thread m_ticker;
};

TargetDispatcher::Implementation::Implementation(const Clock& clock,
                                                 RequestGuard& guard)
    : m_clock(clock),
      m_guard(guard),
      m_poison(clock, PoisonDetector::Parameters()),
      m_ring(kRunRing),
      m_ticker([this] { TickThread(); }) {}

TargetDispatcher::Implementation::~Implementation() {
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_stopping.notify_all();
  m_ticker.join();
  m_ring.Close();
  for (std::thread& thread : m_threads)
    thread.join();
}

void TargetDispatcher::Implementation::OnAnnouncement(
    const TargetAnnouncement& announcement) {
  const std::lock_guard lock(m_mutex);
  const bool moved = !m_target || m_target->address != announcement.address;
  const bool resized = !m_target ||
                       m_target->concurrency != announcement.concurrency ||
                       m_target->connections != announcement.connections;
  if (moved) {
    m_pool = std::make_shared<TargetConnectionPool>(
        m_clock, HttpAddress::Parse(announcement.address));
  }
  if (!m_admission || (resized && m_runs.empty())) {
    AdmissionController::Parameters parameters;
    parameters.declared_concurrency = announcement.concurrency;
    parameters.connections = announcement.connections;
    parameters.starts_cold =
        announcement.state == TargetAnnouncement::State::kStarting;
    m_admission =
        std::make_unique<AdmissionController>(m_clock, m_random, parameters);
  }
  while (m_threads.size() < announcement.connections &&
         m_threads.size() < kMaxThreads) {
    m_threads.emplace_back([this] { PoolThread(); });
  }
  m_target = announcement;
  m_announced = m_clock.Now();
  m_crash_noted = false;
}

void TargetDispatcher::Implementation::Carry(
    const std::shared_ptr<RequestTransfer>& transfer) {
  const ForwardedRequest& request = transfer->request();
  auto run = std::make_shared<LocalRun>();
  run->transfer = transfer;
  std::optional<AnswerHead> obstacle;
  {
    const std::lock_guard lock(m_mutex);
    obstacle = FindObstacle(request);
    if (!obstacle) {
      run->ticket = m_next_ticket;
      m_next_ticket = m_next_ticket.Next();
      m_runs.emplace(run->ticket, run);
    }
  }
  if (obstacle) {
    RefuseRun(*run, std::move(*obstacle));
    return;
  }
  if (request.protected_id)
    Register(run);
  else
    Offer(run);
}

std::optional<AnswerHead> TargetDispatcher::Implementation::FindObstacle(
    const ForwardedRequest& request) {
  if (!m_target || m_target->state != TargetAnnouncement::State::kServing ||
      m_clock.Now() - m_announced > kAnnouncementTimeout) {
    return RefuseNotRun(RequestErrorCode::kTargetUnavailable,
                        "this node has no target that serves",
                        kRetryAfterNoTarget);
  }
  if (m_target->service != request.service) {
    return RefuseNotRun(RequestErrorCode::kNoOwner,
                        "this node's target is of another service",
                        kRetryAfterNoGrant);
  }
  if (m_poison.IsQuarantined(RequestFingerprint(request.fingerprint))) {
    ++m_counts.quarantined;
    return RefuseNotRun(RequestErrorCode::kQuarantined,
                        "its runs crashed targets");
  }
  return std::nullopt;
}

void TargetDispatcher::Implementation::Register(const RunPointer& run) {
  const ProtectedRequest part = ProtectedPartOf(run->transfer->request());
  m_guard.Register(part, [this, run, part](const Registration& registration) {
    if (registration.may_run())
      run->registered = part;
    OnRegistered(run, registration);
  });
}

void TargetDispatcher::Implementation::OnRegistered(
    const RunPointer& run,
    const Registration& registration) {
  if (registration.may_run()) {
    Offer(run);
    return;
  }
  Remove(run->ticket);
  if (registration.answer) {
    AnswerFromMemory(*run, registration);
    return;
  }
  const RequestErrorCode error = *registration.refused;
  if (IsProvedNotRun(error)) {
    RefuseRun(*run, RefuseNotRun(error, "its id could not be registered",
                                 kRetryAfterNoGrant));
  } else {
    RefuseRun(*run, RefuseUnknown(error, "this id may have run before"));
  }
}

void TargetDispatcher::Implementation::AnswerFromMemory(
    LocalRun& run,
    const Registration& registration) {
  AnswerHead head;
  head.status = registration.answer->status;
  head.body_length = registration.answer->body.size();
  if (!registration.answer->content_type.empty())
    head.headers = {{"Content-Type", registration.answer->content_type}};
  run.transfer->upload().CloseReader();
  run.transfer->download().TryWrite(registration.answer->body);
  run.transfer->download().End();
  run.transfer->Answer(std::move(head));
}

void TargetDispatcher::Implementation::Offer(const RunPointer& run) {
  Steps steps;
  {
    const std::lock_guard lock(m_mutex);
    const AdmissionDecision decision = m_admission->Offer(FactsOf(*run));
    if (decision.verdict == AdmissionDecision::Verdict::kAdmitted) {
      steps.start.push_back(run);
    } else if (decision.verdict == AdmissionDecision::Verdict::kRefused) {
      steps.refuse.emplace_back(run, RefusalOf(*decision.refusal));
      m_runs.erase(run->ticket);
    }
  }
  run->transfer->SetCancelCallback(
      [this, ticket = run->ticket] { OnCancel(ticket); });
  Perform(steps);
}

void TargetDispatcher::Implementation::OnCancel(RequestTicket ticket) {
  Steps steps;
  RunPointer withdrawn;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(ticket);
    if (found == m_runs.end())
      return;
    const auto result = m_admission->Cancel(ticket);
    if (result == AdmissionController::CancelResult::kRemovedFromQueue) {
      withdrawn = found->second;
      m_runs.erase(found);
    } else if (result == AdmissionController::CancelResult::kRunning) {
      steps.cancel.push_back(found->second);
    }
    Steps polled = TakeSteps();
    steps.start = std::move(polled.start);
    steps.refuse = std::move(polled.refuse);
  }
  if (withdrawn && withdrawn->registered)
    m_guard.Withdraw(*withdrawn->registered);
  Perform(steps);
}

void TargetDispatcher::Implementation::Poll() {
  Steps steps;
  {
    const std::lock_guard lock(m_mutex);
    steps = TakeSteps();
  }
  Perform(steps);
}

TargetDispatcher::Implementation::Steps
TargetDispatcher::Implementation::TakeSteps() {
  Steps steps;
  if (!m_admission)
    return steps;
  const AdmissionChanges changes = m_admission->Poll();
  for (const RequestTicket ticket : changes.admitted)
    steps.start.push_back(m_runs.at(ticket));
  for (const RefusedRequest& refused : changes.refused) {
    const auto found = m_runs.find(refused.ticket);
    steps.refuse.emplace_back(found->second, RefusalOf(refused.refusal));
    m_runs.erase(found);
  }
  for (const RequestTicket ticket : changes.overdue)
    steps.cancel.push_back(m_runs.at(ticket));
  return steps;
}

void TargetDispatcher::Implementation::Perform(const Steps& steps) {
  for (const RunPointer& run : steps.start)
    m_ring.Push(run);
  for (const auto& [run, refusal] : steps.refuse)
    RefuseRun(*run, refusal);
  for (const RunPointer& run : steps.cancel) {
    const std::lock_guard lock(m_mutex);
    ++m_counts.cancelled_at_target;
    m_canceller.Cancel(m_pool->address(), run->transfer->request().request_id);
  }
}

void TargetDispatcher::Implementation::RefuseRun(LocalRun& run,
                                                 AnswerHead refusal) {
  if (run.registered)
    m_guard.Withdraw(*run.registered);
  {
    const std::lock_guard lock(m_mutex);
    ++(refusal.outcome == RequestOutcome::kNotRun ? m_counts.not_run
                                                  : m_counts.unknown);
  }
  run.transfer->upload().CloseReader();
  run.transfer->download().End();
  run.transfer->Answer(std::move(refusal));
}

void TargetDispatcher::Implementation::PoolThread() {
  NameThread("target-call");
  while (const auto run = m_ring.Pop())
    Execute(*run);
}

void TargetDispatcher::Implementation::TickThread() {
  NameThread("admission");
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    m_stopping.wait_for(lock, AdmissionController::kPollInterval);
    lock.unlock();
    Poll();
    lock.lock();
  }
}

void TargetDispatcher::Implementation::Execute(const RunPointer& run) {
  const Clock::TimePoint started = m_clock.Now();
  std::shared_ptr<TargetConnectionPool> pool;
  {
    const std::lock_guard lock(m_mutex);
    pool = m_pool;
  }
  const ForwardedRequest& request = run->transfer->request();
  TargetCall call(m_clock, *pool, *run->transfer);
  const TargetCall::Result result =
      call.Run([this, &request] { return CheckLast(request); });
  Settle(*run, result);
  // A connection that broke shows a crash only when there is no process to
  // connect to any more; a target may also close one that it is done with.
  const bool crashed = result.connection_lost &&
                       result.outcome == TargetCallOutcome::kUnknown &&
                       pool->IsRefused();
  Steps steps;
  {
    const std::lock_guard lock(m_mutex);
    NoteHealth(*run, result, crashed);
    if (result.timed_out) {
      ++m_counts.cancelled_at_target;
      m_canceller.Cancel(pool->address(), request.request_id);
    }
    m_admission->OnFinished(run->ticket, result.outcome,
                            m_clock.Now() - started);
    m_runs.erase(run->ticket);
    steps = TakeSteps();
  }
  Perform(steps);
}

GrantDecision TargetDispatcher::Implementation::CheckLast(
    const ForwardedRequest& request) {
  {
    // It may have begun to drain while the request waited.
    const std::lock_guard lock(m_mutex);
    if (m_target->state != TargetAnnouncement::State::kServing)
      return {RequestErrorCode::kTargetUnavailable, {}, {}};
  }
  // An unprotected request to an undivided service belongs to no slot.
  return request.slot ? m_guard.CheckGrant(request.service, *request.slot)
                      : GrantDecision();
}

void TargetDispatcher::Implementation::Settle(
    LocalRun& run,
    const TargetCall::Result& result) {
  const ForwardedRequest& request = run.transfer->request();
  if (run.registered) {
    if (result.outcome == TargetCallOutcome::kNotRun)
      m_guard.Withdraw(*run.registered);
    else
      m_guard.Finish(*run.registered, result.answer);
  }
  if (request.slot && result.was_granted)
    m_guard.EndWork(request.service, *request.slot);
}

void TargetDispatcher::Implementation::NoteHealth(
    const LocalRun& run,
    const TargetCall::Result& result,
    bool crashed) {
  switch (result.outcome) {
    case TargetCallOutcome::kDone:
      ++m_counts.done;
      break;
    case TargetCallOutcome::kNotRun:
    case TargetCallOutcome::kPaced:
      ++m_counts.not_run;
      break;
    case TargetCallOutcome::kUnknown:
      ++m_counts.unknown;
      break;
  }
  m_counts.late_answers += result.was_late ? 1 : 0;
  const RequestFingerprint mark(run.transfer->request().fingerprint);
  if (!result.connection_lost) {
    m_poison.OnFinished(mark);
    return;
  }
  // All that ran when the first connection broke are suspects of one crash.
  if (crashed && !m_crash_noted) {
    m_crash_noted = true;
    std::vector<RequestFingerprint> suspects;
    for (const auto& [ticket, other] : m_runs)
      suspects.emplace_back(other->transfer->request().fingerprint);
    m_poison.OnCrash(suspects);
  }
}

void TargetDispatcher::Implementation::Remove(RequestTicket ticket) {
  const std::lock_guard lock(m_mutex);
  m_runs.erase(ticket);
}

std::optional<TargetAnnouncement> TargetDispatcher::Implementation::target()
    const {
  const std::lock_guard lock(m_mutex);
  return m_target;
}

TargetDispatcher::Status TargetDispatcher::Implementation::GetStatus() const {
  const std::lock_guard lock(m_mutex);
  Status status = m_counts;
  status.target = m_target;
  if (m_admission)
    status.admission = m_admission->Status();
  if (m_target) {
    status.since_announced = std::chrono::floor<std::chrono::milliseconds>(
        m_clock.Now() - m_announced);
  }
  status.threads = m_threads.size();
  status.idle_connections = m_pool ? m_pool->idle_count() : 0;
  status.under_way = m_runs.size();
  return status;
}

TargetDispatcher::TargetDispatcher(const Clock& clock, RequestGuard& guard)
    : m_implementation(std::make_unique<Implementation>(clock, guard)) {}

TargetDispatcher::~TargetDispatcher() = default;

void TargetDispatcher::OnAnnouncement(const TargetAnnouncement& announcement) {
  m_implementation->OnAnnouncement(announcement);
}

void TargetDispatcher::Carry(const std::shared_ptr<RequestTransfer>& transfer) {
  m_implementation->Carry(transfer);
}

std::optional<TargetAnnouncement> TargetDispatcher::target() const {
  return m_implementation->target();
}

TargetDispatcher::Status TargetDispatcher::GetStatus() const {
  return m_implementation->GetStatus();
}

bool TargetDispatcher::IsIdle() const {
  return m_implementation->GetStatus().under_way == 0;
}

}  // namespace citrongrade
