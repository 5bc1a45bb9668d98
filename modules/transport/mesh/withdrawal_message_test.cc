#include "modules/transport/mesh/withdrawal_message.h"

#include <doctest/doctest.h>

#include <limits>

#include "modules/protocol/malformed_message_error.h"
#include "modules/transport/mesh/forward_metadata.h"

namespace citrongrade {

// Guards against ids that a receiver doesn't recognize: sender ids use all 64
// bits, and callers choose the request ids.
TEST_CASE("a withdrawal arrives as it was sent") {
  WithdrawalMessage message;
  message.sender_id = std::numeric_limits<std::uint64_t>::max();
  message.request_ids = {"a-1", "with \"quotes\"", ""};
  const HttpRequest request = message.ToHttpRequest();
  CHECK(WithdrawalMessage::IsIn(request));
  CHECK(WithdrawalMessage::FromHttpRequest(request) == message);
}

// Guards against the loss of all withdrawals of a batch because of one id.
TEST_CASE("an id that isn't UTF-8 leaves the others as they are") {
  WithdrawalMessage message;
  message.request_ids = {"\xff", "b"};
  const WithdrawalMessage read =
      WithdrawalMessage::FromHttpRequest(message.ToHttpRequest());
  CHECK(read.request_ids.size() == 2);
  CHECK(read.request_ids.back() == "b");
}

// Guards against a caller's request that is taken for a withdrawal because of
// its path.
TEST_CASE("a forwarded request with the same path is no withdrawal") {
  HttpRequest request = WithdrawalMessage().ToHttpRequest();
  ForwardMetadata().WriteTo(request);
  CHECK_FALSE(WithdrawalMessage::IsIn(request));
}

TEST_CASE("an unreadable withdrawal is malformed") {
  HttpRequest request = WithdrawalMessage().ToHttpRequest();
  for (const char* body :
       {"", "[]", R"({"sender":1})", R"({"sender":"x","attempts":[]})",
        R"({"sender":1,"attempts":[1]})"}) {
    request.body = body;
    CHECK_THROWS_AS(WithdrawalMessage::FromHttpRequest(request),
                    MalformedMessageError);
  }
}

}  // namespace citrongrade
