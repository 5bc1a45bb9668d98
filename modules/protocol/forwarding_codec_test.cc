#include "modules/protocol/forwarding_codec.h"

#include <capnp/message.h>
#include <doctest/doctest.h>

#include "modules/protocol/unknown_wire_value_error.h"

namespace citrongrade {

namespace {

ForwardedRequest MakeRequest() {
  ForwardedRequest request;
  request.service = {WorkspaceName("institute"), ServiceName("sorteio")};
  request.request_id = "n1-7";
  request.method = "POST";
  request.target = "/institute/sorteio/locks?x=%20";
  request.headers = {{"X-Auditor", "a"}, {"Accept", "*/*"}};
  request.key = "engagement-9";
  request.slot = SlotIndex(12);
  request.protected_id = RequestIdHash{1, 2};
  request.is_first_attempt = true;
  request.resend_horizon = std::chrono::milliseconds(60'000);
  request.deadline = std::chrono::milliseconds(900);
  request.body_length.reset();
  request.is_long_work = true;
  request.caller_hash = 5;
  request.fingerprint = 6;
  request.attempts_left = 2;
  return request;
}

}  // namespace

TEST_CASE("a request comes back as it was encoded") {
  const ForwardedRequest request = MakeRequest();
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<rpc::RequestHead>();
  ForwardingCodec::Encode(request, builder);
  CHECK(ForwardingCodec::Decode(builder.asReader()) == request);
}

TEST_CASE("an answer and a refusal come back as they were encoded") {
  AnswerHead answer;
  answer.status = 201;
  answer.headers = {{"Content-Type", "text/plain"}};
  answer.body_length = 12;
  AnswerHead refusal;
  refusal.outcome = RequestOutcome::kNotRun;
  refusal.error = RequestErrorCode::kOverloaded;
  refusal.message = "the queue is full";
  refusal.retry_after = std::chrono::milliseconds(250);
  for (const AnswerHead& head : {answer, refusal}) {
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<rpc::AnswerHead>();
    ForwardingCodec::Encode(head, builder);
    CHECK(ForwardingCodec::Decode(builder.asReader()) == head);
  }
}

TEST_CASE("an outcome that this version does not know is refused") {
  // The caller would be told "done" or "not-run" for something else.
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<rpc::AnswerHead>();
  builder.setOutcome(9);
  CHECK_THROWS_AS(ForwardingCodec::Decode(builder.asReader()),
                  UnknownWireValueError);
}

}  // namespace citrongrade
