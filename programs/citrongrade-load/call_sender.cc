#include "programs/citrongrade-load/call_sender.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "modules/transport/http_client_connection.h"
#include "modules/transport/http_connection_pool.h"
#include "modules/transport/http_errors.h"
#include "programs/citrongrade-load/answer_checker.h"
#include "programs/citrongrade-load/attempt_result.h"
#include "programs/citrongrade-load/load_settings.h"
#include "programs/citrongrade-load/planned_call.h"
#include "programs/citrongrade-target-standin/body_hash.h"
#include "programs/citrongrade-target-standin/deterministic_bytes.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kStepBytes = 65536;
constexpr std::size_t kMaxRefusalBytes = 65536;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
// A node answers at the deadline; what comes much later counts as lost.
constexpr milliseconds kPatience(3000);
constexpr std::string_view kDone = "done";
constexpr std::string_view kNotRun = "not-run";

using Pools = std::vector<std::unique_ptr<HttpConnectionPool>>;

Pools MakePools(const std::vector<HttpAddress>& addresses,
                std::size_t max_idle) {
  Pools pools;
  for (const HttpAddress& address : addresses)
    pools.push_back(std::make_unique<HttpConnectionPool>(address, max_idle));
  return pools;
}

AttemptResult Lost(std::string error) {
  return {.outcome = AttemptOutcome::kLost,
          .error = std::move(error),
          .retry_after = {}};
}

// The body's exact time goes before the header's whole seconds.
milliseconds RetryAfter(const HttpResponseHead& head,
                        const nlohmann::json& body) {
  if (body.is_object() && body.contains("retry_after_ms") &&
      body["retry_after_ms"].is_number()) {
    return milliseconds(body["retry_after_ms"].get<std::int64_t>());
  }
  std::uint32_t seconds = 0;
  if (const auto text = head.Header("Retry-After"))
    std::from_chars(text->data(), text->data() + text->size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

class CallSender::Implementation {
 public:
  explicit Implementation(const LoadSettings& settings)
      : m_settings(settings),
        m_nodes(MakePools(settings.nodes, settings.senders)),
        m_direct(MakePools(settings.direct, settings.senders)) {}

  AttemptResult Send(const PlannedCall& call, unsigned attempt);

 private:
  HttpConnectionPool& PoolOf(const PlannedCall& call, unsigned attempt);
  std::string TargetOf(const PlannedCall& call) const;
  std::vector<HttpHeader> HeadersOf(const PlannedCall& call,
                                    unsigned attempt) const;
  std::size_t BodyBytesOf(const PlannedCall& call) const;
  std::optional<std::uint64_t> AnswerBytesOf(const PlannedCall& call) const;
  std::string KeyAtTarget(const PlannedCall& call) const;

  AttemptResult Exchange(const PlannedCall& call,
                         unsigned attempt,
                         HttpClientConnection& connection);
  std::string SendBody(const PlannedCall& call,
                       HttpClientConnection& connection) const;
  AttemptResult ReadAnswer(const PlannedCall& call,
                           const std::string& body_hash,
                           HttpClientConnection& connection);
  AttemptResult ReadRefusal(const HttpResponseHead& head,
                            std::string_view outcome,
                            HttpClientConnection& connection);

  const LoadSettings m_settings;
  Pools m_nodes;
  Pools m_direct;
};

AttemptResult CallSender::Implementation::Send(const PlannedCall& call,
                                               unsigned attempt) {
  try {
    HttpConnectionPool& pool = PoolOf(call, attempt);
    HttpClientConnection connection = pool.Take();
    AttemptResult result = Exchange(call, attempt, connection);
    pool.GiveBack(std::move(connection));
    return result;
  } catch (const ConnectError&) {
    // Nothing was sent: the caller's own proof that it did not run.
    return {.outcome = AttemptOutcome::kNotRun,
            .error = "connect-failed",
            .retry_after = {}};
  } catch (const TruncatedBodyError&) {
    return Lost("answer-cut");
  } catch (const ResponseTimeoutError&) {
    return Lost("no-answer-in-time");
  } catch (const ConnectionClosedError&) {
    return Lost("connection-closed");
  } catch (const HttpError&) {
    return Lost("malformed-answer");
  }
}

HttpConnectionPool& CallSender::Implementation::PoolOf(const PlannedCall& call,
                                                       unsigned attempt) {
  Pools& pools = call.kind == CallKind::kDirectRead ? m_direct : m_nodes;
  return *pools[(call.caller + attempt) % pools.size()];
}

std::string CallSender::Implementation::TargetOf(
    const PlannedCall& call) const {
  std::string target = "/" + m_settings.service;
  const bool in_path = m_settings.key_place.kind == KeyPlace::Kind::kPath;
  target += in_path ? "/" + call.key : "/work";
  std::string separator = "?";
  if (m_settings.key_place.kind == KeyPlace::Kind::kQuery) {
    target += separator + m_settings.key_place.name + "=" + call.key;
    separator = "&";
  }
  if (const auto bytes = AnswerBytesOf(call))
    target += separator + "bytes=" + std::to_string(*bytes);
  return target;
}

std::vector<HttpHeader> CallSender::Implementation::HeadersOf(
    const PlannedCall& call,
    unsigned attempt) const {
  std::vector<HttpHeader> headers = {
      {"Standin-Call-Id", call.id},
      {"Standin-Caller", std::to_string(call.caller)},
      {"Citrongrade-Deadline-Ms", std::to_string(m_settings.deadline.count())}};
  if (m_settings.key_place.kind == KeyPlace::Kind::kHeader)
    headers.push_back({m_settings.key_place.name, call.key});
  if (call.kind == CallKind::kProtected) {
    headers.push_back({"Idempotency-Key", call.id});
    if (attempt == 0 && m_settings.states_first_attempt)
      headers.push_back({"Citrongrade-First-Attempt", "true"});
  }
  if (call.kind == CallKind::kDirectRead) {
    headers.push_back({"Standin-Direct", "true"});
    headers.push_back({"Citrongrade-Key", KeyAtTarget(call)});
  }
  return headers;
}

std::size_t CallSender::Implementation::BodyBytesOf(
    const PlannedCall& call) const {
  if (call.kind == CallKind::kUpload)
    return m_settings.upload_bytes;
  return call.kind == CallKind::kProtected ? call.id.size() : 0;
}

std::optional<std::uint64_t> CallSender::Implementation::AnswerBytesOf(
    const PlannedCall& call) const {
  switch (call.kind) {
    case CallKind::kRead:
    case CallKind::kDirectRead:
      return m_settings.read_bytes;
    case CallKind::kDownload:
      return m_settings.download_bytes;
    case CallKind::kProtected:
    case CallKind::kUpload:
      return std::nullopt;
  }
  return std::nullopt;
}

std::string CallSender::Implementation::KeyAtTarget(
    const PlannedCall& call) const {
  return m_settings.key_place.kind == KeyPlace::Kind::kNone ? "" : call.key;
}

AttemptResult CallSender::Implementation::Exchange(
    const PlannedCall& call,
    unsigned attempt,
    HttpClientConnection& connection) {
  const std::size_t bytes = BodyBytesOf(call);
  const char* method = "GET";
  if (call.kind == CallKind::kProtected)
    method = "POST";
  else if (call.kind == CallKind::kUpload)
    method = "PUT";
  connection.SendHead(method, TargetOf(call), HeadersOf(call, attempt),
                      HttpBodyLength::Exactly(bytes));
  return ReadAnswer(call, SendBody(call, connection), connection);
}

std::string CallSender::Implementation::SendBody(
    const PlannedCall& call,
    HttpClientConnection& connection) const {
  BodyHash hash;
  DeterministicBytes bytes(call.key, "body of " + call.id);
  std::size_t left = BodyBytesOf(call);
  while (left > 0) {
    const std::string piece = bytes.Take(std::min(left, kStepBytes));
    hash.Add(piece);
    try {
      connection.SendBody(piece);
    } catch (const ConnectionClosedError&) {
      // The node may have refused without reading on; its answer is there.
      break;
    }
    left -= piece.size();
  }
  return hash.Hex();
}

AttemptResult CallSender::Implementation::ReadAnswer(
    const PlannedCall& call,
    const std::string& body_hash,
    HttpClientConnection& connection) {
  const HttpResponseHead head =
      connection.ReadHead(m_settings.deadline + kPatience);
  const bool succeeded =
      head.status >= kFirstSuccess && head.status < kFirstRedirect;
  std::string_view outcome = head.Header("Citrongrade-Outcome").value_or("");
  // A target's own answer, past the system, has no outcome.
  if (outcome.empty() &&
      (m_settings.trusts_status || call.kind == CallKind::kDirectRead))
    outcome = kDone;
  if (outcome != kDone || !succeeded)
    return ReadRefusal(head, outcome, connection);
  AnswerChecker checker(KeyAtTarget(call), call.id, AnswerBytesOf(call),
                        body_hash);
  std::vector<char> buffer(kStepBytes);
  while (const std::size_t count = connection.ReadBody(buffer))
    checker.Add({buffer.data(), count});
  if (const auto fault = checker.Fault())
    return {.outcome = AttemptOutcome::kWrongAnswer,
            .error = *fault,
            .retry_after = {}};
  return {.outcome = AttemptOutcome::kDone, .error = {}, .retry_after = {}};
}

AttemptResult CallSender::Implementation::ReadRefusal(
    const HttpResponseHead& head,
    std::string_view outcome,
    HttpClientConnection& connection) {
  const auto body = nlohmann::json::parse(
      connection.ReadWholeBody(kMaxRefusalBytes), nullptr, false);
  AttemptResult result;
  result.outcome =
      outcome == kNotRun ? AttemptOutcome::kNotRun : AttemptOutcome::kUnknown;
  result.retry_after = RetryAfter(head, body);
  if (body.is_object() && body.contains("error") && body["error"].is_string())
    result.error = body["error"].get<std::string>();
  else
    result.error = "status-" + std::to_string(head.status);
  if (outcome.empty())
    result.error = "outcome-missing";
  return result;
}

CallSender::CallSender(const LoadSettings& settings)
    : m_implementation(std::make_unique<Implementation>(settings)) {}

CallSender::~CallSender() = default;

AttemptResult CallSender::Send(const PlannedCall& call, unsigned attempt) {
  return m_implementation->Send(call, attempt);
}

}  // namespace citrongrade
