#include "programs/citrongrade-target-standin/work_runner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/protocol/record_id_generator.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/http_exchange.h"
#include "programs/citrongrade-target-standin/answer_writer.h"
#include "programs/citrongrade-target-standin/body_hash.h"
#include "programs/citrongrade-target-standin/cancellation.h"
#include "programs/citrongrade-target-standin/cold_start.h"
#include "programs/citrongrade-target-standin/freeze_gate.h"
#include "programs/citrongrade-target-standin/grant_table.h"
#include "programs/citrongrade-target-standin/run_recorder.h"
#include "programs/citrongrade-target-standin/run_report.h"
#include "programs/citrongrade-target-standin/run_reporter.h"
#include "programs/citrongrade-target-standin/run_slots.h"
#include "programs/citrongrade-target-standin/running_requests.h"
#include "programs/citrongrade-target-standin/service_time.h"
#include "programs/citrongrade-target-standin/target_control_store.h"
#include "programs/citrongrade-target-standin/target_settings.h"
#include "programs/citrongrade-target-standin/work_request.h"
#include "programs/citrongrade-target-standin/work_request_reader.h"

namespace citrongrade {

namespace {

constexpr int kPreconditionFailed = 412;
constexpr int kClientClosedRequest = 499;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kPoisonExitStatus = 86;
constexpr std::size_t kReadStepBytes = 65536;

struct ReceivedBody {
  std::uint64_t bytes = 0;
  std::string hash;
};

ReceivedBody Receive(HttpExchange& exchange) {
  ReceivedBody body;
  BodyHash hash;
  std::vector<char> buffer(kReadStepBytes);
  while (const std::size_t count = exchange.ReadBody(buffer)) {
    hash.Add({buffer.data(), count});
    body.bytes += count;
  }
  body.hash = hash.Hex();
  return body;
}

}  // namespace

class WorkRunner::Implementation {
 public:
  Implementation(const TargetSettings& settings,
                 std::string name,
                 const Clock& clock,
                 TargetControlStore& controls,
                 FreezeGate& freeze_gate)
      : m_settings(settings),
        m_name(std::move(name)),
        m_clock(clock),
        m_controls(controls),
        m_freeze_gate(freeze_gate),
        m_answers(controls),
        m_slots(clock, settings.slots, settings.queue_length),
        m_recorder(clock, settings.max_run_records),
        m_service_time(settings),
        m_cold_start(clock.Now() + settings.start_delay,
                     settings.cold,
                     settings.cold_factor) {
    if (settings.report_runs_to.port != 0)
      m_reporter = std::make_unique<RunReporter>(settings.report_runs_to);
  }

  void Run(HttpExchange& exchange);

  void Cancel(const std::string& request_id) {
    m_requests.Cancel(request_id);
    m_slots.Wake();
  }

  LoadFigures Load(Clock::Duration lag) const { return m_slots.Load(lag); }
  std::vector<RunRecord> records() const { return m_recorder.records(); }

 private:
  bool RefuseBadGrant(HttpExchange& exchange, const WorkRequest& request);
  void RunInSlot(HttpExchange& exchange,
                 const WorkRequest& request,
                 const ReceivedBody& body,
                 Cancellation& cancellation);
  RunReport BeginRun(const WorkRequest& request);
  void Work(const WorkRequest& request, Cancellation& cancellation);
  std::chrono::microseconds TimeOfRun();

  const TargetSettings& m_settings;
  const std::string m_name;
  const std::string m_process = RecordIdGenerator().Next().value();
  const Clock& m_clock;
  TargetControlStore& m_controls;
  FreezeGate& m_freeze_gate;
  AnswerWriter m_answers;
  GrantTable m_grants;
  RunSlots m_slots;
  RunningRequests m_requests;
  RunRecorder m_recorder;
  ServiceTime m_service_time;
  ColdStart m_cold_start;
  std::unique_ptr<RunReporter> m_reporter;
};

void WorkRunner::Implementation::Run(HttpExchange& exchange) {
  const WorkRequest request = ReadWorkRequest(exchange, m_clock.Now());
  if (RefuseBadGrant(exchange, request))
    return;
  const ReceivedBody body = Receive(exchange);
  const auto cancellation = m_requests.Begin(request.request_id);
  const SlotOutcome outcome = m_slots.Enter(request.deadline, *cancellation);
  if (outcome == SlotOutcome::kEntered) {
    try {
      RunInSlot(exchange, request, body, *cancellation);
    } catch (...) {
      m_slots.Leave();
      m_requests.End(request.request_id);
      throw;
    }
    m_slots.Leave();
  } else {
    AnswerWriter::Refuse(exchange, kUnavailable, ToString(outcome));
  }
  m_requests.End(request.request_id);
}

bool WorkRunner::Implementation::RefuseBadGrant(HttpExchange& exchange,
                                                const WorkRequest& request) {
  if (!m_settings.checks_grants || request.is_direct)
    return false;
  const GrantVerdict verdict = m_grants.Check(request.grant, m_clock.Now());
  if (verdict == GrantVerdict::kGood)
    return false;
  AnswerWriter::Refuse(exchange, kPreconditionFailed, ToString(verdict));
  return true;
}

void WorkRunner::Implementation::RunInSlot(HttpExchange& exchange,
                                           const WorkRequest& request,
                                           const ReceivedBody& body,
                                           Cancellation& cancellation) {
  m_freeze_gate.Pass();
  // Again, after the body and the wait for a slot: the lease may have run out,
  // or a successor's epoch come.
  if (RefuseBadGrant(exchange, request))
    return;
  const RunReport run = BeginRun(request);
  if (request.is_poison) {
    spdlog::critical("event=poisoned request_id={}", request.request_id);
    std::_Exit(kPoisonExitStatus);
  }
  Work(request, cancellation);
  if (m_controls.Take(&TargetControls::run_twice))
    m_recorder.End(BeginRun(request).number, true);
  const bool is_late = m_clock.Now() >= request.deadline;
  const bool completed = !is_late && !cancellation.IsCancelled();
  m_recorder.End(run.number, completed);
  if (completed)
    m_answers.Complete(exchange, request, run, body.bytes, body.hash);
  else if (is_late)
    AnswerWriter::GiveUp(exchange, kGatewayTimeout, "deadline-passed");
  else
    AnswerWriter::GiveUp(exchange, kClientClosedRequest, "cancelled");
}

RunReport WorkRunner::Implementation::BeginRun(const WorkRequest& request) {
  const RunRecord record = m_recorder.Begin(request);
  RunReport report{.target = m_name,
                   .process = m_process,
                   .number = record.number,
                   .idempotency_key = request.idempotency_key,
                   .call_id = request.call_id,
                   .key = request.key};
  // A failure leaves open whether the collector counts this run, so that the
  // request can't be refused as not run: the exception closes its connection.
  if (m_reporter)
    m_reporter->Report(report);
  return report;
}

void WorkRunner::Implementation::Work(const WorkRequest& request,
                                      Cancellation& cancellation) {
  const Clock::TimePoint end = m_clock.Now() + TimeOfRun();
  cancellation.SleepUntil(std::min(end, request.deadline));
  m_freeze_gate.Pass();
}

std::chrono::microseconds WorkRunner::Implementation::TimeOfRun() {
  const double factor =
      m_controls.current().slowness * m_cold_start.FactorAt(m_clock.Now());
  return std::chrono::duration_cast<std::chrono::microseconds>(
      m_service_time.Next() * factor);
}

WorkRunner::WorkRunner(const TargetSettings& settings,
                       const std::string& name,
                       const Clock& clock,
                       TargetControlStore& controls,
                       FreezeGate& freeze_gate)
    : m_implementation(std::make_unique<Implementation>(settings,
                                                        name,
                                                        clock,
                                                        controls,
                                                        freeze_gate)) {}

WorkRunner::~WorkRunner() = default;

void WorkRunner::Run(HttpExchange& exchange) {
  m_implementation->Run(exchange);
}

void WorkRunner::Cancel(const std::string& request_id) {
  m_implementation->Cancel(request_id);
}

LoadFigures WorkRunner::Load(Clock::Duration lag) const {
  return m_implementation->Load(lag);
}

std::vector<RunRecord> WorkRunner::records() const {
  return m_implementation->records();
}

}  // namespace citrongrade
