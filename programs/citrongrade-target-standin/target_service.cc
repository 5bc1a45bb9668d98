#include "programs/citrongrade-target-standin/target_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "modules/transport/http_exchange.h"
#include "programs/citrongrade-target-standin/answer_writer.h"
#include "programs/citrongrade-target-standin/freeze_gate.h"
#include "programs/citrongrade-target-standin/target_settings.h"

namespace citrongrade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::size_t kMaxControlBytes = 4096;
constexpr std::string_view kOwnPrefix = "/v1/";
constexpr std::string_view kRequestsPrefix = "/v1/requests/";

void SendJson(HttpExchange& exchange, int status, const json& body) {
  const HttpHeader type{"Content-Type", "application/json"};
  exchange.Send(status, {&type, 1}, body.dump());
}

json ToJson(const TargetControls& controls) {
  return {{"health_lag_ms", controls.health_lag.count()},
          {"load_lag_ms", controls.load_lag.count()},
          {"load_factor", controls.load_factor},
          {"reported_state", controls.reported_state},
          {"slowness", controls.slowness},
          {"run_twice", controls.run_twice},
          {"shorten_answers", controls.shorten_answers},
          {"cut_answers", controls.cut_answers},
          {"swap_answers", controls.swap_answers},
          {"deny_runs", controls.deny_runs}};
}

// `controls` with the fields that `change` names. Throws json::exception.
TargetControls Changed(TargetControls controls, const json& change) {
  controls.health_lag =
      milliseconds(change.value("health_lag_ms", controls.health_lag.count()));
  controls.load_lag =
      milliseconds(change.value("load_lag_ms", controls.load_lag.count()));
  controls.load_factor = change.value("load_factor", controls.load_factor);
  controls.reported_state =
      change.value("reported_state", controls.reported_state);
  controls.slowness = change.value("slowness", controls.slowness);
  controls.run_twice = change.value("run_twice", controls.run_twice);
  controls.shorten_answers =
      change.value("shorten_answers", controls.shorten_answers);
  controls.cut_answers = change.value("cut_answers", controls.cut_answers);
  controls.swap_answers = change.value("swap_answers", controls.swap_answers);
  controls.deny_runs = change.value("deny_runs", controls.deny_runs);
  return controls;
}

// Controls that act once, and are not kept.
bool IsAction(const std::string& name) {
  return name == "freeze_ms" || name == "drain";
}

bool NamesOnlyControls(const json& change) {
  if (!change.is_object())
    return false;
  const json known = ToJson(TargetControls());
  return std::all_of(
      change.items().begin(), change.items().end(), [&](const auto& item) {
        return known.contains(item.key()) || IsAction(item.key());
      });
}

json ToJson(const RunRecord& record) {
  json body = {
      {"number", record.number},
      {"request_id", record.request_id},
      {"idempotency_key", record.idempotency_key},
      {"call_id", record.call_id},
      {"key", record.key},
      {"epoch", record.epoch.value()},
      {"start_us", std::chrono::duration_cast<std::chrono::microseconds>(
                       record.start.time_since_epoch())
                       .count()},
      {"completed", record.completed}};
  if (record.end) {
    body["end_us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                         record.end->time_since_epoch())
                         .count();
  }
  return body;
}

}  // namespace

TargetService::TargetService(const TargetSettings& settings,
                             const std::string& name,
                             const Clock& clock,
                             FreezeGate& freeze_gate)
    : m_settings(settings),
      m_clock(clock),
      m_freeze_gate(freeze_gate),
      m_serves_from(clock.Now() + settings.start_delay),
      m_runner(settings, name, clock, m_controls, freeze_gate),
      m_draining_history(clock, false) {}

void TargetService::Handle(HttpExchange& exchange) {
  const std::string& path = exchange.path();
  // Reachable while frozen, so that tests keep a hold of the target.
  if (path == "/v1/control") {
    HandleControl(exchange);
    return;
  }
  if (path == "/v1/runs") {
    HandleRuns(exchange);
    return;
  }
  m_freeze_gate.Pass();
  if (path == "/v1/health") {
    HandleHealth(exchange);
  } else if (path == "/v1/load") {
    HandleLoad(exchange);
  } else if (exchange.method() == "DELETE" &&
             path.starts_with(kRequestsPrefix)) {
    m_runner.Cancel(path.substr(kRequestsPrefix.size()));
    exchange.Send(kNoContent, {}, {});
  } else if (path.starts_with(kOwnPrefix)) {
    SendJson(exchange, kNotFound, {{"error", "unknown-path"}});
  } else {
    HandleWork(exchange);
  }
}

TargetState TargetService::state() const {
  if (m_draining)
    return TargetState::kDraining;
  return m_clock.Now() < m_serves_from ? TargetState::kStarting
                                       : TargetState::kServing;
}

void TargetService::BeginDrain() {
  m_draining = true;
  m_draining_history.Set(true);
  spdlog::info("event=draining requests_inside={}", RequestsInside());
}

unsigned TargetService::RequestsInside() const {
  return m_requests_inside;
}

void TargetService::HandleWork(HttpExchange& exchange) {
  // Counted before the state is read: a drain that saw no request inside can't
  // be followed by one that saw no drain.
  ++m_requests_inside;
  try {
    if (state() == TargetState::kServing)
      m_runner.Run(exchange);
    else
      AnswerWriter::Refuse(exchange, kUnavailable, ToString(state()));
  } catch (...) {
    --m_requests_inside;
    throw;
  }
  --m_requests_inside;
}

void TargetService::HandleHealth(HttpExchange& exchange) {
  const TargetControls controls = m_controls.current();
  std::string reported(ToString(state()));
  if (m_draining && !m_draining_history.Get(controls.health_lag))
    reported = ToString(TargetState::kServing);
  if (!controls.reported_state.empty())
    reported = controls.reported_state;
  SendJson(exchange, kOk, {{"state", reported}});
}

void TargetService::HandleLoad(HttpExchange& exchange) {
  const TargetControls controls = m_controls.current();
  const LoadFigures load = m_runner.Load(controls.load_lag);
  const auto reported = [&](unsigned truth) {
    return std::llround(truth * controls.load_factor);
  };
  SendJson(exchange, kOk,
           {{"running", reported(load.running)},
            {"queued", reported(load.queued)},
            {"slots", m_settings.slots}});
}

void TargetService::HandleRuns(HttpExchange& exchange) {
  json runs = json::array();
  for (const RunRecord& record : m_runner.records())
    runs.push_back(ToJson(record));
  SendJson(exchange, kOk, {{"runs", std::move(runs)}});
}

void TargetService::HandleControl(HttpExchange& exchange) {
  if (exchange.method() == "POST") {
    try {
      const json change = json::parse(exchange.ReadWholeBody(kMaxControlBytes));
      if (!NamesOnlyControls(change)) {
        SendJson(exchange, kBadRequest, {{"error", "unknown-control"}});
        return;
      }
      m_controls.Set(Changed(m_controls.current(), change));
      m_freeze_gate.Freeze(milliseconds(change.value("freeze_ms", 0)));
      if (change.value("drain", false))
        BeginDrain();
      spdlog::info("event=control-set controls='{}'", change.dump());
    } catch (const json::exception& error) {
      SendJson(exchange, kBadRequest, {{"error", error.what()}});
      return;
    }
  }
  SendJson(exchange, kOk, ToJson(m_controls.current()));
}

}  // namespace citrongrade
