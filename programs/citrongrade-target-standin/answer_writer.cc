#include "programs/citrongrade-target-standin/answer_writer.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "modules/transport/http_exchange.h"
#include "programs/citrongrade-target-standin/deterministic_bytes.h"
#include "programs/citrongrade-target-standin/run_report.h"
#include "programs/citrongrade-target-standin/target_control_store.h"
#include "programs/citrongrade-target-standin/work_request.h"

namespace citrongrade {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr std::size_t kAnswerStepBytes = 65536;

void SendOutcome(HttpExchange& exchange,
                 int status,
                 std::string_view outcome,
                 std::string_view error) {
  std::vector<HttpHeader> headers = {
      {"Content-Type", "application/json"},
      {"Citrongrade-Outcome", std::string(outcome)}};
  if (status == kUnavailable)
    headers.push_back({"Retry-After", "1"});
  exchange.Send(status, headers,
                json({{"outcome", outcome}, {"error", error}}).dump());
}

std::optional<std::uint64_t> BytesAsked(const HttpExchange& exchange) {
  const auto text = exchange.QueryField("bytes");
  std::uint64_t count = 0;
  if (!text || exchange.method() != "GET")
    return std::nullopt;
  std::from_chars(text->data(), text->data() + text->size(), count);
  return count;
}

}  // namespace

void AnswerWriter::Refuse(HttpExchange& exchange,
                          int status,
                          std::string_view error) {
  SendOutcome(exchange, status, "not-run", error);
}

void AnswerWriter::GiveUp(HttpExchange& exchange,
                          int status,
                          std::string_view error) {
  SendOutcome(exchange, status, "unknown", error);
}

void AnswerWriter::Complete(HttpExchange& exchange,
                            const WorkRequest& request,
                            const RunReport& run,
                            std::uint64_t body_bytes,
                            const std::string& body_hash) {
  if (m_controls.Take(&TargetControls::deny_runs)) {
    Refuse(exchange, kUnavailable, "misbehaviour");
    return;
  }
  WorkRequest answered = request;
  if (m_controls.Take(&TargetControls::swap_answers))
    answered.call_id += "-of-another-caller";
  if (const auto bytes = BytesAsked(exchange)) {
    SendBytes(exchange, answered, *bytes);
    return;
  }
  const std::vector<HttpHeader> headers = {
      {"Content-Type", "application/json"},
      {"Citrongrade-Request-Id", request.request_id}};
  exchange.Send(kOk, headers,
                json({{"target", run.target},
                      {"run", run.number},
                      {"key", answered.key},
                      {"call_id", answered.call_id},
                      {"idempotency_key", answered.idempotency_key},
                      {"body_bytes", body_bytes},
                      {"body_hash", body_hash}})
                    .dump());
}

void AnswerWriter::SendBytes(HttpExchange& exchange,
                             const WorkRequest& request,
                             std::uint64_t count) {
  const bool is_cut = m_controls.Take(&TargetControls::cut_answers);
  if (m_controls.Take(&TargetControls::shorten_answers))
    count /= 2;
  const std::vector<HttpHeader> headers = {
      {"Content-Type", "application/octet-stream"},
      {"Citrongrade-Request-Id", request.request_id}};
  exchange.SendHead(kOk, headers, HttpBodyLength::Exactly(count));
  DeterministicBytes bytes(request.key, request.call_id);
  std::vector<char> buffer(kAnswerStepBytes);
  std::uint64_t left = is_cut ? count / 2 : count;
  while (left > 0) {
    const std::size_t step =
        static_cast<std::size_t>(std::min<std::uint64_t>(left, buffer.size()));
    bytes.Fill(std::span(buffer).first(step));
    exchange.SendBody({buffer.data(), step});
    left -= step;
  }
}

}  // namespace citrongrade
