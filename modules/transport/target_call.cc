#include "modules/transport/target_call.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/protocol/answer_head.h"
#include "modules/transport/body_pipe.h"
#include "modules/transport/http_client_connection.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/refusals.h"
#include "modules/transport/request_transfer.h"
#include "modules/transport/target_connection_pool.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kRetryAfterTargetFailure{1000};
constexpr std::chrono::milliseconds kRetryAfterRefusal{250};
constexpr std::size_t kMaxStoredAnswerBytes = 4096;
constexpr int kUnavailable = 503;
constexpr int kPreconditionFailed = 412;

HttpBodyLength ToHttp(const std::optional<std::uint64_t>& length) {
  return length ? HttpBodyLength::Exactly(*length) : HttpBodyLength::Chunked();
}

bool ProvesNotRun(const HttpResponseHead& response) {
  const bool refuses =
      response.status == kUnavailable || response.status == kPreconditionFailed;
  const auto outcome = response.Header("Citrongrade-Outcome");
  return refuses && outcome && *outcome == ToString(RequestOutcome::kNotRun);
}

std::chrono::milliseconds RetryAfterOf(const HttpResponseHead& response) {
  const auto text = response.Header("Retry-After");
  unsigned seconds = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), seconds).ec !=
          std::errc())
    return kRetryAfterRefusal;
  return std::chrono::seconds(seconds);
}

AnswerHead MakeAnswer(const HttpResponseHead& response) {
  AnswerHead answer;
  answer.status = static_cast<std::uint16_t>(response.status);
  answer.body_length = response.body_length.bytes();
  for (const HttpHeader& header : response.headers) {
    if (!IsHopByHopHeader(header.name) &&
        !SameHeaderName(header.name, "Citrongrade-Outcome") &&
        !SameHeaderName(header.name, "Citrongrade-Request-Id")) {
      answer.headers.push_back({header.name, header.value});
    }
  }
  return answer;
}

}  // namespace

TargetCall::TargetCall(const Clock& clock,
                       TargetConnectionPool& pool,
                       RequestTransfer& transfer)
    : m_clock(clock), m_pool(pool), m_transfer(transfer) {}

TargetCall::Result TargetCall::Run(const GrantCheck& check_grant) {
  try {
    Connect();
    if (!Start(check_grant))
      return m_result;
    const HttpResponseHead response = ReadHead();
    PassAnswer(response);
  } catch (const ConnectError& error) {
    m_result.connection_lost = true;
    Refuse(RefuseNotRun(RequestErrorCode::kTargetUnavailable, error.what(),
                        kRetryAfterTargetFailure));
  } catch (const ResponseTimeoutError& error) {
    m_result.timed_out = true;
    Refuse(RefuseUnknown(RequestErrorCode::kTargetTimeout, error.what()));
  } catch (const TruncatedBodyError& error) {
    Refuse(RefuseUnknown(RequestErrorCode::kTruncatedAnswer, error.what()));
  } catch (const ConnectionClosedError& error) {
    m_result.connection_lost = true;
    Refuse(RefuseUnknown(RequestErrorCode::kTargetFailed, error.what(),
                         kRetryAfterTargetFailure));
  } catch (const std::exception& error) {
    Refuse(RefuseUnknown(RequestErrorCode::kTargetFailed, error.what(),
                         kRetryAfterTargetFailure));
  }
  if (m_result.connection_lost)
    m_pool.DropIdle();
  else if (m_connection && m_connection->is_reusable())
    m_pool.GiveBack(std::move(m_connection));
  return m_result;
}

void TargetCall::Connect() {
  m_connection = m_pool.Take(!m_transfer.request().is_idempotent);
}

bool TargetCall::Start(const GrantCheck& check_grant) {
  if (!m_transfer.TryStart()) {
    m_pool.GiveBack(std::move(m_connection));
    return false;
  }
  const GrantDecision grant = check_grant();
  if (!grant.granted()) {
    m_pool.GiveBack(std::move(m_connection));
    Refuse(RefuseNotRun(*grant.refused, "the grant ended while it waited",
                        kRetryAfterRefusal));
    return false;
  }
  m_result.was_granted = true;
  m_result.outcome = TargetCallOutcome::kUnknown;
  SendRequest(grant);
  return true;
}

void TargetCall::SendRequest(const GrantDecision& grant) {
  const ForwardedRequest& request = m_transfer.request();
  std::vector<HttpHeader> headers;
  headers.reserve(request.headers.size() + 6);
  for (const HeaderField& field : request.headers)
    headers.push_back({field.name, field.value});
  headers.push_back({"Citrongrade-Request-Id", request.request_id});
  headers.push_back(
      {"Citrongrade-Deadline-Ms", std::to_string(TimeLeft().count())});
  if (!request.key.empty())
    headers.push_back({"Citrongrade-Key", request.key});
  if (request.slot) {
    headers.push_back(
        {"Citrongrade-Slot", std::to_string(request.slot->value())});
    headers.push_back(
        {"Citrongrade-Epoch", std::to_string(grant.epoch.value())});
    headers.push_back({"Citrongrade-Lease-Remaining-Ms",
                       std::to_string(grant.lease_remaining.count())});
  }
  m_connection->SendHead(request.method, request.target, headers,
                         ToHttp(request.body_length));
  SendUpload();
}

void TargetCall::SendUpload() {
  if (m_transfer.request().body_length == 0)
    return;
  BodyPipe& upload = m_transfer.upload();
  try {
    while (true) {
      const BodyPipe::ReadResult next = upload.Read(m_transfer.deadline());
      if (next.state == BodyPipe::ReadState::kEnd)
        break;
      if (next.state == BodyPipe::ReadState::kWait)
        throw ResponseTimeoutError("the deadline passed during the upload");
      if (next.state == BodyPipe::ReadState::kFailed)
        throw TruncatedBodyError("the request's body was cut short");
      m_connection->SendBody(next.bytes);
    }
    m_connection->EndBody();
  } catch (const ConnectionClosedError&) {
    // The target may have answered without reading on; ReadHead tells.
  }
  upload.CloseReader();
}

HttpResponseHead TargetCall::ReadHead() {
  HttpResponseHead response = m_connection->ReadHead(
      std::max(TimeLeft(), std::chrono::milliseconds(1)));
  const auto id = response.Header("Citrongrade-Request-Id");
  // A target that refuses before it reads the request may not know its id. No
  // other request's refusal can come here: a connection whose last answer was
  // not read whole is never used again.
  if (!id && ProvesNotRun(response))
    return response;
  // The answer to another request, for example after a target lost count on a
  // kept connection: given on, a caller would read somebody else's data.
  if (!id || *id != m_transfer.request().request_id)
    throw MalformedResponseError("the answer names another request");
  return response;
}

void TargetCall::PassAnswer(const HttpResponseHead& response) {
  if (ProvesNotRun(response)) {
    m_connection->ReadWholeBody(RequestTransfer::kInlineBytes);
    m_result.outcome = TargetCallOutcome::kNotRun;
    Refuse(RefuseNotRun(RequestErrorCode::kTargetRefused,
                        "the target refused it without running it",
                        RetryAfterOf(response)));
    return;
  }
  AnswerHead answer = MakeAnswer(response);
  const auto length = response.body_length.bytes();
  if (length && *length <= RequestTransfer::kInlineBytes)
    PassSmallBody(std::move(answer));
  else
    PassLongBody(std::move(answer));
}

void TargetCall::PassSmallBody(AnswerHead answer) {
  std::string body = m_connection->ReadWholeBody(RequestTransfer::kInlineBytes);
  m_result.outcome = TargetCallOutcome::kDone;
  if (body.size() <= kMaxStoredAnswerBytes) {
    std::string content_type;
    for (const HeaderField& field : answer.headers) {
      if (SameHeaderName(field.name, "Content-Type"))
        content_type = field.value;
    }
    m_result.answer = std::make_shared<const StoredAnswer>(
        StoredAnswer{answer.status, content_type, body});
  }
  m_transfer.download().TryWrite(std::move(body));
  m_transfer.download().End();
  m_result.was_late = !m_transfer.Answer(std::move(answer));
}

void TargetCall::PassLongBody(AnswerHead answer) {
  m_result.was_late = !m_transfer.Answer(std::move(answer));
  if (m_result.was_late) {
    m_connection.reset();
    return;
  }
  BodyPipe& download = m_transfer.download();
  std::vector<char> buffer(RequestTransfer::kInlineBytes);
  while (const std::size_t count = m_connection->ReadBody(buffer)) {
    const std::string_view bytes(buffer.data(), count);
    if (!download.Write(bytes, m_transfer.deadline())) {
      download.Fail();
      m_connection.reset();
      return;
    }
  }
  m_result.outcome = TargetCallOutcome::kDone;
  download.End();
}

void TargetCall::Refuse(AnswerHead refusal) {
  // After the head has gone out, the cut body is what tells the caller.
  m_transfer.download().Fail();
  m_transfer.upload().CloseReader();
  const bool first = m_transfer.Answer(std::move(refusal));
  m_result.was_late = !first && m_transfer.is_cancelled();
}

std::chrono::milliseconds TargetCall::TimeLeft() const {
  const auto left = std::chrono::floor<std::chrono::milliseconds>(
      m_transfer.deadline() - m_clock.Now());
  return std::max(left, std::chrono::milliseconds(0));
}

}  // namespace citrongrade
