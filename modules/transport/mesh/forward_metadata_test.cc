#include "modules/transport/mesh/forward_metadata.h"

#include <doctest/doctest.h>

#include "modules/protocol/malformed_message_error.h"
#include "modules/transport/mesh/forward_result.h"

namespace citrongrade {

using std::chrono::milliseconds;

TEST_CASE("metadata survives a round trip and its header is removed") {
  ForwardMetadata metadata;
  metadata.request_id = "id;with%odd bytes";
  metadata.service = "sorteio";
  metadata.key = 65'535;
  metadata.is_idempotent = true;
  metadata.priority = 2;
  metadata.route = "r-1";
  metadata.soft_time_left = milliseconds(-5);
  metadata.time_left = milliseconds(900);
  metadata.origin_service = "";
  metadata.sender_id = 0xfedcba9876543210;
  metadata.sent_at = std::chrono::hours(9000);
  HttpRequest request;
  request.headers.push_back({"X-Other", "kept"});
  metadata.WriteTo(request);
  CHECK(ForwardMetadata::ExtractFrom(request) == metadata);
  REQUIRE(request.headers.size() == 1);
  CHECK(request.headers[0].name == "X-Other");
}

TEST_CASE("missing or malformed metadata is rejected") {
  HttpRequest request;
  CHECK_THROWS_AS(ForwardMetadata::ExtractFrom(request), MalformedMessageError);
  for (const char* text : {"", ";;;;", "a;b;x;0;0;k;1;1;o", "a;b;1;0;0;k;1;1",
                           "a;b;1;0;0;k;1;1;o", "a;b;1;0;0;k;1;1;o;1;y"}) {
    request.headers = {{"Mesh-Work", text}};
    CHECK_THROWS_AS(ForwardMetadata::ExtractFrom(request),
                    MalformedMessageError);
  }
}

TEST_CASE("a result survives a round trip") {
  ForwardResult refused = ForwardResult::NotRun(RequestErrorCode::kOverloaded,
                                                "full", milliseconds(70));
  refused.reached_target = true;
  CHECK(ForwardResult::FromHttpResponse(refused.ToHttpResponse()) == refused);
  const ForwardResult unknown =
      ForwardResult::Unknown(RequestErrorCode::kTargetFailed, "closed");
  CHECK(ForwardResult::FromHttpResponse(unknown.ToHttpResponse()) == unknown);
  HttpResponse response;
  response.head.status = 500;
  response.head.headers.push_back({"X", "1"});
  response.body = "boom";
  const ForwardResult answered = ForwardResult::Answered(response);
  CHECK(ForwardResult::FromHttpResponse(answered.ToHttpResponse()).response ==
        response);
}

// A call was late, and no log line showed in which stage it had been delayed.
TEST_CASE("an attempt's timings are returned with its result") {
  ForwardTimings times;
  times.transit = milliseconds(700);
  times.body = milliseconds(34);
  times.queue = milliseconds(5);
  times.target_connect = milliseconds(1);
  times.target = milliseconds(30);
  ForwardResult refused =
      ForwardResult::NotRun(RequestErrorCode::kOverloaded, "full");
  refused.times = times;
  CHECK(ForwardResult::FromHttpResponse(refused.ToHttpResponse()).times ==
        times);
  ForwardResult answered = ForwardResult::Answered(HttpResponse());
  answered.times = times;
  CHECK(ForwardResult::FromHttpResponse(answered.ToHttpResponse()).times ==
        times);
  CHECK(ForwardResult::FromHttpResponse(answered.ToHttpResponse())
            .response.head.headers.empty());
  CHECK(times.ToLogFields() ==
        "connect_ms=0 way_ms=700 body_ms=34 queue_ms=5 door_ms=1 target_ms=30");
}

// A response of another process, or of another version, must never be taken for
// the target's answer.
TEST_CASE("a response without a valid result is rejected") {
  HttpResponse response;
  response.head.status = 200;
  CHECK_THROWS_AS(ForwardResult::FromHttpResponse(response),
                  MalformedMessageError);
  for (const char* text : {"", "1", "1 999 5 0", "x 1 1 1", "1 20"}) {
    response.head.headers = {{"Mesh-Result", text}};
    CHECK_THROWS_AS(ForwardResult::FromHttpResponse(response),
                    MalformedMessageError);
  }
}

}  // namespace citrongrade
