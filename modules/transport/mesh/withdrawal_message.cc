#include "modules/transport/mesh/withdrawal_message.h"

#include <nlohmann/json.hpp>
#include <string_view>

#include "modules/protocol/malformed_message_error.h"
#include "modules/transport/mesh/forward_metadata.h"

namespace citrongrade {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kMethod = "POST";
constexpr std::string_view kPath = "/mesh/withdraw";
constexpr const char* kSender = "sender";
constexpr const char* kAttempts = "attempts";

}  // namespace

HttpRequest WithdrawalMessage::ToHttpRequest() const {
  const Json json = {{kSender, sender_id}, {kAttempts, request_ids}};
  HttpRequest request;
  request.method = kMethod;
  request.target = kPath;
  request.headers.push_back({"Content-Type", "application/json"});
  // Callers choose the ids. One that isn't UTF-8 doesn't match at the receiver.
  request.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return request;
}

bool WithdrawalMessage::IsIn(const HttpRequest& request) {
  return request.method == kMethod && request.target == kPath &&
         !ForwardMetadata::IsIn(request);
}

WithdrawalMessage WithdrawalMessage::FromHttpRequest(
    const HttpRequest& request) {
  try {
    const Json json = Json::parse(request.body);
    WithdrawalMessage message;
    message.sender_id = json.at(kSender).get<std::uint64_t>();
    message.request_ids = json.at(kAttempts).get<std::vector<std::string>>();
    return message;
  } catch (const Json::exception& error) {
    throw MalformedMessageError(error.what());
  }
}

}  // namespace citrongrade
