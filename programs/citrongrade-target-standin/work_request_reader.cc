#include "programs/citrongrade-target-standin/work_request_reader.h"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "modules/transport/http_exchange.h"

namespace citrongrade {

namespace {

constexpr std::chrono::seconds kDefaultDeadline(60);

std::string TextHeader(const HttpExchange& exchange, std::string_view name) {
  return std::string(exchange.Header(name).value_or(""));
}

std::optional<std::uint64_t> NumberHeader(const HttpExchange& exchange,
                                          std::string_view name) {
  const auto text = exchange.Header(name);
  std::uint64_t number = 0;
  if (!text)
    return std::nullopt;
  const auto [end, error] =
      std::from_chars(text->data(), text->data() + text->size(), number);
  if (error != std::errc() || end != text->data() + text->size())
    return std::nullopt;
  return number;
}

std::optional<Grant> ReadGrant(const HttpExchange& exchange,
                               Clock::TimePoint now) {
  const auto slot = NumberHeader(exchange, "Citrongrade-Slot");
  const auto epoch = NumberHeader(exchange, "Citrongrade-Epoch");
  const auto remaining =
      NumberHeader(exchange, "Citrongrade-Lease-Remaining-Ms");
  if (!slot || !epoch || !remaining)
    return std::nullopt;
  return Grant{.slot = SlotIndex(static_cast<std::uint32_t>(*slot)),
               .epoch = Epoch(*epoch),
               .valid_until = now + std::chrono::milliseconds(*remaining)};
}

}  // namespace

WorkRequest ReadWorkRequest(const HttpExchange& exchange,
                            Clock::TimePoint now) {
  WorkRequest request;
  request.request_id = TextHeader(exchange, "Citrongrade-Request-Id");
  request.idempotency_key = TextHeader(exchange, "Idempotency-Key");
  request.call_id = TextHeader(exchange, "Standin-Call-Id");
  request.key = TextHeader(exchange, "Citrongrade-Key");
  request.method = exchange.method();
  request.grant = ReadGrant(exchange, now);
  const auto deadline_ms = NumberHeader(exchange, "Citrongrade-Deadline-Ms");
  request.deadline =
      now + (deadline_ms ? std::chrono::milliseconds(*deadline_ms)
                         : std::chrono::milliseconds(kDefaultDeadline));
  request.is_poison = TextHeader(exchange, "Standin-Poison") == "true";
  request.is_direct = TextHeader(exchange, "Standin-Direct") == "true";
  return request;
}

}  // namespace citrongrade
