#include "modules/transport/caller_request_parser.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "modules/coordination/routing_table.h"
#include "modules/state/service_settings.h"
#include "modules/transport/refusals.h"
#include "modules/transport/request_refused_error.h"
#include "modules/transport/url_text.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kRetryAfterNotReady{1000};
constexpr char kFirstPrintable = 0x20;
constexpr char kDelete = 0x7f;

[[noreturn]] void Refuse(RequestErrorCode error, std::string message) {
  throw RequestRefusedError(RefuseNotRun(error, std::move(message)));
}

bool HasControlBytes(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return (c >= 0 && c < kFirstPrintable) || c == kDelete;
  });
}

bool IsPrintableAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c >= kFirstPrintable && c < kDelete;
  });
}

std::vector<std::string_view> ValuesOf(std::span<const HttpHeader> headers,
                                       std::string_view name) {
  std::vector<std::string_view> values;
  for (const HttpHeader& header : headers) {
    if (SameHeaderName(header.name, name))
      values.emplace_back(header.value);
  }
  return values;
}

std::optional<std::string> FindKey(const KeyRule& rule,
                                   const CallerRequest& caller) {
  switch (rule.source) {
    case KeyRule::Source::kNone:
      return std::nullopt;
    case KeyRule::Source::kHeader: {
      const auto values = ValuesOf(caller.headers, rule.name);
      // Which one the target would take is its own affair; it need not be the
      // one whose owner gets the request.
      if (values.size() > 1)
        Refuse(RequestErrorCode::kMalformedRequest, "the key is given twice");
      if (values.empty())
        return std::nullopt;
      return std::string(values.front());
    }
    case KeyRule::Source::kPathPart: {
      constexpr std::size_t kServiceParts = 2;
      const auto parts = SplitPath(caller.path);
      if (parts.size() <= kServiceParts + rule.path_part)
        return std::nullopt;
      return DecodePercent(parts[kServiceParts + rule.path_part]);
    }
    case KeyRule::Source::kQueryField:
      return FindQueryField(caller.query, rule.name);
  }
  return std::nullopt;
}

std::string ReadKey(const KeyRule& rule, const CallerRequest& caller) {
  const std::optional<std::string> key = FindKey(rule, caller);
  if (!key || key->empty())
    Refuse(RequestErrorCode::kMissingKey, "the request carries no key");
  if (key->size() > CallerRequestParser::kMaxKeyBytes)
    Refuse(RequestErrorCode::kKeyTooLong, "a key has at most 512 bytes");
  if (HasControlBytes(*key))
    Refuse(RequestErrorCode::kMalformedRequest, "the key has control bytes");
  return *key;
}

std::optional<std::string> ReadRequestId(const CallerRequest& caller) {
  const auto values = ValuesOf(caller.headers, "Idempotency-Key");
  if (values.empty())
    return std::nullopt;
  const std::string_view id = values.front();
  if (values.size() > 1 || id.empty() ||
      id.size() > CallerRequestParser::kMaxRequestIdBytes ||
      !IsPrintableAscii(id)) {
    Refuse(RequestErrorCode::kBadRequestId,
           "an Idempotency-Key has 1 to 200 printable bytes and comes once");
  }
  return std::string(id);
}

std::chrono::milliseconds ReadDeadline(const ServiceSettings& settings,
                                       const CallerRequest& caller) {
  const auto values = ValuesOf(caller.headers, "Citrongrade-Deadline-Ms");
  if (values.empty())
    return settings.default_deadline;
  const std::string_view text = values.front();
  std::uint32_t milliseconds = 0;
  const auto end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, milliseconds);
  if (values.size() > 1 || parsed.ec != std::errc() || parsed.ptr != end ||
      milliseconds == 0) {
    Refuse(RequestErrorCode::kBadDeadline,
           "a Citrongrade-Deadline-Ms is a positive whole number");
  }
  return std::min<std::chrono::milliseconds>(
      std::chrono::milliseconds(milliseconds), settings.max_deadline);
}

bool IsPassedOn(std::string_view name) {
  constexpr std::string_view kOwnPrefix = "Citrongrade-";
  if (name.size() >= kOwnPrefix.size() &&
      SameHeaderName(name.substr(0, kOwnPrefix.size()), kOwnPrefix)) {
    return false;
  }
  return !IsHopByHopHeader(name) && !SameHeaderName(name, "Host") &&
         !SameHeaderName(name, "Expect");
}

std::size_t HeadBytes(const CallerRequest& caller) {
  std::size_t bytes =
      caller.method.size() + caller.path.size() + caller.query.size();
  for (const HttpHeader& header : caller.headers)
    bytes += header.name.size() + header.value.size();
  return bytes;
}

RequestIdHash HashRequestId(const ServiceId& service,
                            std::string_view key,
                            std::string_view id) {
  std::string text = service.ToString();
  text.append(1, '\0').append(key).append(1, '\0').append(id);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

std::uint64_t HashCaller(const CallerRequest& caller) {
  const auto account = FindHeader(caller.headers, "Authorization");
  const std::string_view address = caller.remote_address;
  const std::string_view who =
      account ? *account : address.substr(0, address.rfind(':'));
  return XXH3_64bits(who.data(), who.size());
}

void ReadBodyLength(const ServiceSettings& settings,
                    const CallerRequest& caller,
                    ForwardedRequest& request) {
  if (caller.body_length && *caller.body_length > settings.max_body_bytes) {
    Refuse(RequestErrorCode::kMalformedRequest,
           "the body is longer than the service takes");
  }
  request.body_length = caller.body_length;
  request.is_long_work = !caller.body_length ||
                         *caller.body_length >= settings.long_work_body_bytes;
}

void ReadIdentity(const CallerRequest& caller,
                  CallerRequestParser::Parsed& parsed) {
  const ServiceSettings& settings = *parsed.settings;
  ForwardedRequest& request = parsed.request;
  const auto& methods = settings.idempotent_methods;
  request.is_idempotent =
      std::find(methods.begin(), methods.end(), caller.method) != methods.end();
  if (settings.IsSharded())
    request.key = ReadKey(settings.key_rule, caller);
  parsed.slot_key = request.key;
  const std::optional<std::string> id = ReadRequestId(caller);
  if (request.is_idempotent)
    return;
  if (!id && settings.require_request_id) {
    Refuse(RequestErrorCode::kMissingRequestId,
           "this service wants an Idempotency-Key with " + caller.method);
  }
  if (!id)
    return;
  request.protected_id = HashRequestId(settings.id, request.key, *id);
  request.resend_horizon = settings.resend_horizon;
  if (!settings.IsSharded())
    parsed.slot_key = *id;
}

}  // namespace

CallerRequestParser::CallerRequestParser(const RoutingTable& table)
    : m_table(table) {}

CallerRequestParser::Parsed CallerRequestParser::Parse(
    const CallerRequest& caller) const {
  if (HeadBytes(caller) > kMaxHeadBytes) {
    Refuse(RequestErrorCode::kHeaderTooLarge,
           "path and headers have at most 16 KiB together");
  }
  Parsed parsed;
  parsed.settings = FindService(caller);
  ForwardedRequest& request = parsed.request;
  request.service = parsed.settings->id;
  request.method = caller.method;
  request.target = caller.path;
  if (!caller.query.empty())
    request.target += "?" + caller.query;
  ReadIdentity(caller, parsed);
  ReadBodyLength(*parsed.settings, caller, request);
  request.deadline = ReadDeadline(*parsed.settings, caller);
  request.caller_hash = HashCaller(caller);
  const auto first = FindHeader(caller.headers, "Citrongrade-First-Attempt");
  request.is_first_attempt = first && *first == "true";
  for (const HttpHeader& header : caller.headers) {
    if (IsPassedOn(header.name))
      request.headers.push_back({header.name, header.value});
  }
  return parsed;
}

std::shared_ptr<const ServiceSettings> CallerRequestParser::FindService(
    const CallerRequest& caller) const {
  if (!m_table.IsReady()) {
    throw RequestRefusedError(RefuseNotRun(RequestErrorCode::kNodeNotReady,
                                           "this node still reads the log",
                                           kRetryAfterNotReady));
  }
  const auto parts = SplitPath(caller.path);
  if (parts.size() < 2)
    Refuse(RequestErrorCode::kUnknownService, "a path is /workspace/service/");
  const ServiceId id{WorkspaceName(std::string(parts[0])),
                     ServiceName(std::string(parts[1]))};
  auto settings = m_table.FindService(id);
  if (!settings)
    Refuse(RequestErrorCode::kUnknownService, "no such service");
  return settings;
}

}  // namespace citrongrade
