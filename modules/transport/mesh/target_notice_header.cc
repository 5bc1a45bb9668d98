#include "modules/transport/mesh/target_notice_header.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "modules/transport/mesh/header_fields.h"

namespace citrongrade {

namespace {

// Id and start of the target, its limit, for how long it has been leaving in
// ms, whether it is paced. A field without a value is empty.
constexpr std::string_view kHeader = "Mesh-Target";
constexpr char kSeparator = ';';
constexpr std::size_t kFieldCount = 5;
constexpr std::string_view kYes = "1";

template <typename Number>
std::string ToField(Number number) {
  char text[32];
  const auto result = std::to_chars(text, text + sizeof(text), number);
  return {text, result.ptr};
}

template <typename Number>
std::optional<Number> FromField(std::string_view text) {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return number;
}

std::string ToText(const TargetNotice& notice) {
  std::string text = PercentEncode(notice.target.id, kSeparator);
  text += kSeparator + ToField(notice.target.started_unix_ms) + kSeparator;
  if (notice.rate_limit)
    text += ToField(*notice.rate_limit);
  text += kSeparator;
  if (notice.leaving_for)
    text += ToField(std::int64_t{notice.leaving_for->count()});
  text += kSeparator;
  if (notice.is_paced)
    text += kYes;
  return text;
}

}  // namespace

void WriteTargetNotice(const std::optional<TargetNotice>& notice,
                       std::vector<HttpHeader>& headers) {
  SetHeader(headers, kHeader, notice ? ToText(*notice) : std::string());
}

std::optional<TargetNotice> TakeTargetNotice(std::vector<HttpHeader>& headers) {
  const std::optional<std::string> text = TakeHeader(headers, kHeader);
  if (!text)
    return std::nullopt;
  const std::vector<std::string_view> fields = SplitFields(*text, kSeparator);
  if (fields.size() != kFieldCount)
    return std::nullopt;
  const auto started = FromField<std::int64_t>(fields[1]);
  if (!started)
    return std::nullopt;
  TargetNotice notice;
  notice.target = {PercentDecode(fields[0]), *started};
  notice.rate_limit = FromField<double>(fields[2]);
  if (const auto leaving_ms = FromField<std::int64_t>(fields[3]))
    notice.leaving_for = std::chrono::milliseconds(*leaving_ms);
  notice.is_paced = fields[4] == kYes;
  return notice;
}

}  // namespace citrongrade
