#include "modules/transport/mesh/forward_metadata.h"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "modules/protocol/malformed_message_error.h"
#include "modules/transport/mesh/header_fields.h"
#include "modules/transport/mesh/target_notice_header.h"

namespace citrongrade {

namespace {

constexpr std::string_view kHeader = "Mesh-Work";
constexpr char kSeparator = ';';
constexpr std::size_t kFieldCount = 11;

std::int64_t ReadNumber(std::string_view text) {
  std::int64_t number = 0;
  const auto end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end)
    throw MalformedMessageError("malformed number in header Mesh-Work");
  return number;
}

}  // namespace

void ForwardMetadata::WriteTo(HttpRequest& request) const {
  std::string text;
  const auto add_text = [&text](const std::string& field) {
    text += PercentEncode(field, kSeparator);
    text += kSeparator;
  };
  const auto add_number = [&text](std::int64_t number) {
    text += std::to_string(number);
    text += kSeparator;
  };
  add_text(request_id);
  add_text(service);
  add_number(key ? std::int64_t{*key} : -1);
  add_number(is_idempotent ? 1 : 0);
  add_number(priority);
  add_text(route);
  add_number(soft_time_left.count());
  add_number(time_left.count());
  add_text(origin_service);
  add_number(static_cast<std::int64_t>(sender_id));
  text += std::to_string(sent_at.count());
  SetHeader(request.headers, kHeader, std::move(text));
  WriteTargetNotice(notice, request.headers);
}

bool ForwardMetadata::IsIn(const HttpRequest& request) {
  return FindHeader(request.headers, kHeader).has_value();
}

ForwardMetadata ForwardMetadata::ExtractFrom(HttpRequest& request) {
  const std::optional<std::string> text = TakeHeader(request.headers, kHeader);
  if (!text)
    throw MalformedMessageError("header Mesh-Work is missing");
  const std::vector<std::string_view> fields = SplitFields(*text, kSeparator);
  if (fields.size() != kFieldCount)
    throw MalformedMessageError("wrong number of fields in header Mesh-Work");
  ForwardMetadata metadata;
  metadata.request_id = PercentDecode(fields[0]);
  metadata.service = PercentDecode(fields[1]);
  const std::int64_t key = ReadNumber(fields[2]);
  if (key >= 0)
    metadata.key = static_cast<std::uint32_t>(key);
  metadata.is_idempotent = ReadNumber(fields[3]) != 0;
  metadata.priority = static_cast<std::uint32_t>(ReadNumber(fields[4]));
  metadata.route = PercentDecode(fields[5]);
  metadata.soft_time_left = std::chrono::milliseconds(ReadNumber(fields[6]));
  metadata.time_left = std::chrono::milliseconds(ReadNumber(fields[7]));
  metadata.origin_service = PercentDecode(fields[8]);
  metadata.sender_id = static_cast<std::uint64_t>(ReadNumber(fields[9]));
  metadata.sent_at = std::chrono::nanoseconds(ReadNumber(fields[10]));
  metadata.notice = TakeTargetNotice(request.headers);
  return metadata;
}

}  // namespace citrongrade
