#include "programs/citrongrade-load/load_run.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "modules/coordination/steady_clock.h"
#include "modules/transport/http_client_connection.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/http_server.h"
#include "modules/transport/http_server_settings.h"
#include "programs/citrongrade-load/attempt_result.h"
#include "programs/citrongrade-load/call_plan.h"
#include "programs/citrongrade-load/call_record.h"
#include "programs/citrongrade-load/call_sender.h"
#include "programs/citrongrade-load/due_queue.h"
#include "programs/citrongrade-load/load_settings.h"
#include "programs/citrongrade-load/promise_checker.h"
#include "programs/citrongrade-load/resend_policy.h"
#include "programs/citrongrade-load/run_collector.h"
#include "programs/citrongrade-load/run_ledger.h"
#include "programs/citrongrade-load/unavailability_tracker.h"
#include "programs/citrongrade-target-standin/run_report.h"

namespace citrongrade {

namespace {

using std::chrono::microseconds;

constexpr std::size_t kQueueCapacity = 8192;
// Each target keeps up to 64 idle connections to the collector.
constexpr unsigned kCollectorThreads = 512;
constexpr std::chrono::seconds kRunsTimeout(10);
constexpr std::size_t kMaxRunsBytes = 256 << 20;

microseconds Micros(Clock::Duration duration) {
  return std::chrono::duration_cast<microseconds>(duration);
}

}  // namespace

class LoadRun::Implementation {
 public:
  explicit Implementation(const LoadSettings& settings)
      : m_settings(settings),
        m_plan(settings),
        m_sender(settings),
        m_queue(kQueueCapacity),
        m_collector(m_ledger) {
    if (settings.collect_address.port == 0)
      return;
    HttpServerSettings server_settings;
    server_settings.address = settings.collect_address;
    server_settings.thread_count = kCollectorThreads;
    m_collector_server =
        std::make_unique<HttpServer>(server_settings, m_collector);
  }

  LoadReport Play();

 private:
  void Feed();
  void SendDueCalls(std::uint64_t seed);
  void Attempt(CallRecord record, std::mt19937_64& random);
  void NoteResult(CallRecord& record, const AttemptResult& result);
  void NoteBegin(const CallRecord& record);
  void Finish(CallRecord record);

  bool LearnRuns();
  bool ReadRunsOf(const HttpAddress& target);
  LoadReport MakeReport(microseconds elapsed, bool runs_are_whole) const;
  void AddCalls(LoadReport& report) const;
  void AddRuns(LoadReport& report) const;

  const LoadSettings m_settings;
  CallPlan m_plan;
  CallSender m_sender;
  DueQueue<CallRecord> m_queue;
  RunLedger m_ledger;
  RunCollector m_collector;
  std::unique_ptr<HttpServer> m_collector_server;
  UnavailabilityTracker m_unavailability;
  const SteadyClock m_clock;
  Clock::TimePoint m_begin;

  std::mutex m_mutex;
  std::vector<CallRecord> m_records;
  std::vector<microseconds> m_send_lags;
  std::map<std::string, std::size_t> m_failures;
};

LoadReport LoadRun::Implementation::Play() {
  m_begin = m_clock.Now();
  std::vector<std::thread> threads;
  threads.emplace_back([this] { Feed(); });
  for (unsigned i = 0; i < m_settings.senders; ++i) {
    threads.emplace_back(
        [this, seed = m_settings.seed + i] { SendDueCalls(seed); });
  }
  for (std::thread& thread : threads)
    thread.join();
  const microseconds elapsed = Micros(m_clock.Now() - m_begin);
  std::this_thread::sleep_for(m_settings.settle);
  const bool runs_are_whole = LearnRuns();
  return MakeReport(elapsed, runs_are_whole);
}

void LoadRun::Implementation::Feed() {
  while (std::optional<PlannedCall> call = m_plan.Next()) {
    const Clock::TimePoint due = m_begin + call->due;
    CallRecord record;
    record.call = std::move(*call);
    m_queue.Push(due, std::move(record));
  }
  m_queue.Close();
}

void LoadRun::Implementation::SendDueCalls(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (std::optional<CallRecord> record = m_queue.Take())
    Attempt(std::move(*record), random);
}

void LoadRun::Implementation::Attempt(CallRecord record,
                                      std::mt19937_64& random) {
  if (record.attempts == 0)
    NoteBegin(record);
  const AttemptResult result = m_sender.Send(record.call, record.attempts);
  NoteResult(record, result);
  if (const auto delay = ResendDelay(m_settings, record, result, random))
    m_queue.PushAgain(m_clock.Now() + *delay, std::move(record));
  else
    Finish(std::move(record));
}

void LoadRun::Implementation::NoteBegin(const CallRecord& record) {
  const auto lag = Micros(m_clock.Now() - (m_begin + record.call.due));
  const std::lock_guard lock(m_mutex);
  m_send_lags.push_back(lag);
}

void LoadRun::Implementation::NoteResult(CallRecord& record,
                                         const AttemptResult& result) {
  const Clock::TimePoint now = m_clock.Now();
  ++record.attempts;
  record.last_outcome = result.outcome;
  const std::string ending =
      std::string(ToString(result.outcome)) + "/" + result.error;
  record.history += (record.history.empty() ? "" : ", ") + ending;
  record.every_attempt_not_run =
      record.every_attempt_not_run && result.outcome == AttemptOutcome::kNotRun;
  record.any_wrong_answer =
      record.any_wrong_answer || result.outcome == AttemptOutcome::kWrongAnswer;
  record.latency = Micros(now - (m_begin + record.call.due));
  const bool succeeded = result.outcome == AttemptOutcome::kDone;
  if (record.call.kind != CallKind::kDirectRead)
    m_unavailability.Note(record.call.key, now, succeeded);
  if (succeeded)
    return;
  const std::lock_guard lock(m_mutex);
  ++m_failures[ending];
}

void LoadRun::Implementation::Finish(CallRecord record) {
  {
    const std::lock_guard lock(m_mutex);
    m_records.push_back(std::move(record));
  }
  m_queue.Finish();
}

bool LoadRun::Implementation::LearnRuns() {
  if (m_collector_server) {
    m_collector_server->Stop();
    return true;
  }
  bool is_whole = !m_settings.targets.empty();
  for (const HttpAddress& target : m_settings.targets)
    is_whole = ReadRunsOf(target) && is_whole;
  return is_whole;
}

bool LoadRun::Implementation::ReadRunsOf(const HttpAddress& target) {
  try {
    HttpClientConnection connection(target);
    const HttpResponse response = connection.Call(
        {.method = "GET", .target = "/v1/runs"}, kRunsTimeout, kMaxRunsBytes);
    const auto body = nlohmann::json::parse(response.body);
    for (const auto& run : body.at("runs")) {
      m_ledger.Note({.target = target.ToString(),
                     .process = {},
                     .number = run.at("number").get<std::uint64_t>(),
                     .idempotency_key = run.at("idempotency_key"),
                     .call_id = run.at("call_id"),
                     .key = run.at("key")});
    }
    return true;
  } catch (const HttpError& error) {
    spdlog::warn("event=runs-not-read target={} reason=\"{}\"",
                 target.ToString(), error.what());
  } catch (const nlohmann::json::exception& error) {
    spdlog::warn("event=runs-not-read target={} reason=\"{}\"",
                 target.ToString(), error.what());
  }
  return false;
}

LoadReport LoadRun::Implementation::MakeReport(microseconds elapsed,
                                               bool runs_are_whole) const {
  LoadReport report;
  report.elapsed = elapsed;
  report.runs_are_whole = runs_are_whole;
  report.failures = m_failures;
  report.send_lag = Percentiles::Of(m_send_lags);
  AddCalls(report);
  AddRuns(report);
  report.unavailable =
      Percentiles::Of(m_unavailability.LongestGaps(m_begin + elapsed));
  report.keys_still_failing = m_unavailability.open_gaps();
  report.broken = CheckPromises(m_records, m_ledger, runs_are_whole);
  return report;
}

void LoadRun::Implementation::AddCalls(LoadReport& report) const {
  std::vector<microseconds> all;
  std::vector<microseconds> reads;
  std::vector<microseconds> direct;
  for (const CallRecord& record : m_records) {
    ++report.calls;
    report.attempts += record.attempts;
    report.not_run += record.last_outcome == AttemptOutcome::kNotRun ? 1 : 0;
    report.unknown += record.last_outcome == AttemptOutcome::kUnknown ? 1 : 0;
    report.lost += record.last_outcome == AttemptOutcome::kLost ? 1 : 0;
    if (record.last_outcome != AttemptOutcome::kDone)
      continue;
    ++report.done;
    if (record.call.kind == CallKind::kDirectRead) {
      direct.push_back(record.latency);
      continue;
    }
    all.push_back(record.latency);
    if (record.call.kind == CallKind::kRead)
      reads.push_back(record.latency);
  }
  report.latency = Percentiles::Of(std::move(all));
  report.read_latency = Percentiles::Of(std::move(reads));
  report.direct_latency = Percentiles::Of(std::move(direct));
}

void LoadRun::Implementation::AddRuns(LoadReport& report) const {
  report.runs_by_target = m_ledger.RunsByTarget();
  report.key_moves = m_ledger.key_moves();
  std::size_t total = 0;
  std::size_t most = 0;
  for (const auto& [target, runs] : report.runs_by_target) {
    total += runs;
    most = std::max(most, runs);
  }
  const std::size_t workers =
      std::max(m_settings.workers, report.runs_by_target.size());
  if (total > 0) {
    report.imbalance =
        static_cast<double>(most * workers) / static_cast<double>(total);
  }
}

LoadRun::LoadRun(const LoadSettings& settings)
    : m_implementation(std::make_unique<Implementation>(settings)) {}

LoadRun::~LoadRun() = default;

LoadReport LoadRun::Play() {
  return m_implementation->Play();
}

}  // namespace citrongrade
