#include "modules/transport/mesh/target_notice_header.h"

#include <doctest/doctest.h>

#include <string>

namespace citrongrade {

TEST_CASE("a notice survives a round trip and its header is removed") {
  TargetNotice limited;
  limited.target = {"t;1%", -5};
  limited.rate_limit = 0.2;
  limited.is_paced = true;
  TargetNotice leaving;
  leaving.target = {"i-7f", 1'700'000'000'000};
  leaving.leaving_for = std::chrono::milliseconds(0);
  for (const TargetNotice& notice : {limited, leaving}) {
    std::vector<HttpHeader> headers = {{"X-Other", "kept"}};
    WriteTargetNotice(notice, headers);
    CHECK(TakeTargetNotice(headers) == notice);
    REQUIRE(headers.size() == 1);
    CHECK(headers[0].name == "X-Other");
  }
}

// Guards against a caller that says in its own headers what a target takes.
TEST_CASE("headers of that name in a request of a caller are removed") {
  std::vector<HttpHeader> headers = {{"mesh-target", "t;1;0;;"},
                                     {"Mesh-Target", "t;1;0;;"}};
  WriteTargetNotice(std::nullopt, headers);
  CHECK(headers.empty());
}

TEST_CASE("a malformed notice is none") {
  for (const char* text :
       {"", "t", "t;x;1;;", "t;1;2;3", "t;1;2;3;1;1", ";;;;"}) {
    CAPTURE(text);
    std::vector<HttpHeader> headers = {{"Mesh-Target", text}};
    CHECK_FALSE(TakeTargetNotice(headers));
    CHECK(headers.empty());
  }
}

}  // namespace citrongrade
