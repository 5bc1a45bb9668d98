#include "modules/protocol/forwarding_codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "modules/protocol/unknown_wire_value_error.h"

namespace citrongrade {

namespace {

constexpr std::int64_t kChunkedOnWire = -1;
constexpr std::uint8_t kNoErrorOnWire = 255;

std::string ToString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

std::int64_t LengthToWire(const std::optional<std::uint64_t>& length) {
  return length ? static_cast<std::int64_t>(*length) : kChunkedOnWire;
}

std::optional<std::uint64_t> LengthFromWire(std::int64_t length) {
  if (length < 0)
    return std::nullopt;
  return static_cast<std::uint64_t>(length);
}

void EncodeHeaders(const std::vector<HeaderField>& headers,
                   capnp::List<rpc::HeaderField>::Builder builder) {
  for (unsigned i = 0; i < headers.size(); ++i) {
    builder[i].setName(headers[i].name);
    builder[i].setValue(headers[i].value);
  }
}

std::vector<HeaderField> DecodeHeaders(
    capnp::List<rpc::HeaderField>::Reader reader) {
  std::vector<HeaderField> headers;
  headers.reserve(reader.size());
  for (const auto header : reader)
    headers.push_back(
        {ToString(header.getName()), ToString(header.getValue())});
  return headers;
}

}  // namespace

void ForwardingCodec::Encode(const ForwardedRequest& request,
                             rpc::RequestHead::Builder builder) {
  builder.setWorkspace(request.service.workspace.value());
  builder.setService(request.service.service.value());
  builder.setRequestId(request.request_id);
  builder.setMethod(request.method);
  builder.setTarget(request.target);
  EncodeHeaders(request.headers,
                builder.initHeaders(unsigned(request.headers.size())));
  builder.setKey(request.key);
  builder.setHasSlot(request.slot.has_value());
  builder.setSlot(request.slot.value_or(SlotIndex()).value());
  builder.setIsIdempotent(request.is_idempotent);
  builder.setIsProtected(request.protected_id.has_value());
  const RequestIdHash id = request.protected_id.value_or(RequestIdHash());
  builder.setIdHigh(id.high);
  builder.setIdLow(id.low);
  builder.setIsFirstAttempt(request.is_first_attempt);
  builder.setResendHorizonMs(std::uint64_t(request.resend_horizon.count()));
  builder.setDeadlineMs(std::uint64_t(request.deadline.count()));
  builder.setBodyLength(LengthToWire(request.body_length));
  builder.setIsLongWork(request.is_long_work);
  builder.setCallerHash(request.caller_hash);
  builder.setFingerprint(request.fingerprint);
  builder.setAttemptsLeft(request.attempts_left);
}

ForwardedRequest ForwardingCodec::Decode(rpc::RequestHead::Reader reader) {
  ForwardedRequest request;
  request.service = {WorkspaceName(ToString(reader.getWorkspace())),
                     ServiceName(ToString(reader.getService()))};
  request.request_id = ToString(reader.getRequestId());
  request.method = ToString(reader.getMethod());
  request.target = ToString(reader.getTarget());
  request.headers = DecodeHeaders(reader.getHeaders());
  request.key = ToString(reader.getKey());
  if (reader.getHasSlot())
    request.slot = SlotIndex(reader.getSlot());
  request.is_idempotent = reader.getIsIdempotent();
  if (reader.getIsProtected())
    request.protected_id = RequestIdHash{reader.getIdHigh(), reader.getIdLow()};
  request.is_first_attempt = reader.getIsFirstAttempt();
  request.resend_horizon =
      std::chrono::milliseconds(reader.getResendHorizonMs());
  request.deadline = std::chrono::milliseconds(reader.getDeadlineMs());
  request.body_length = LengthFromWire(reader.getBodyLength());
  request.is_long_work = reader.getIsLongWork();
  request.caller_hash = reader.getCallerHash();
  request.fingerprint = reader.getFingerprint();
  request.attempts_left = reader.getAttemptsLeft();
  return request;
}

void ForwardingCodec::Encode(const AnswerHead& answer,
                             rpc::AnswerHead::Builder builder) {
  builder.setOutcome(static_cast<std::uint8_t>(answer.outcome));
  builder.setError(answer.error ? static_cast<std::uint8_t>(*answer.error)
                                : kNoErrorOnWire);
  builder.setMessage(answer.message);
  builder.setRetryAfterMs(std::uint64_t(answer.retry_after.count()));
  builder.setStatus(answer.status);
  EncodeHeaders(answer.headers,
                builder.initHeaders(unsigned(answer.headers.size())));
  builder.setBodyLength(LengthToWire(answer.body_length));
}

AnswerHead ForwardingCodec::Decode(rpc::AnswerHead::Reader reader) {
  constexpr auto kLastOutcome =
      static_cast<std::uint8_t>(RequestOutcome::kUnknown);
  constexpr auto kLastError =
      static_cast<std::uint8_t>(RequestErrorCode::kRetryBudgetSpent);
  AnswerHead answer;
  if (reader.getOutcome() > kLastOutcome)
    throw UnknownWireValueError("outcome of an answer");
  answer.outcome = static_cast<RequestOutcome>(reader.getOutcome());
  if (reader.getError() != kNoErrorOnWire) {
    if (reader.getError() > kLastError)
      throw UnknownWireValueError("error code of an answer");
    answer.error = static_cast<RequestErrorCode>(reader.getError());
  }
  answer.message = ToString(reader.getMessage());
  answer.retry_after = std::chrono::milliseconds(reader.getRetryAfterMs());
  answer.status = reader.getStatus();
  answer.headers = DecodeHeaders(reader.getHeaders());
  answer.body_length = LengthFromWire(reader.getBodyLength());
  return answer;
}

}  // namespace citrongrade
