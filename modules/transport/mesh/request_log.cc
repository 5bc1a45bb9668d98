#include "modules/transport/mesh/request_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "modules/transport/mesh/forward_metadata.h"
#include "modules/transport/mesh/forward_result.h"
#include "modules/transport/refusals.h"

namespace citrongrade {

namespace {

constexpr int kServerError = 500;

bool HasFailed(const ForwardResult& result) {
  return !result.has_answer() || result.response.head.status >= kServerError;
}

std::string_view ReasonOf(const ForwardResult& result) {
  return result.error ? ToString(*result.error) : std::string_view("none");
}

}  // namespace

RequestLog::RequestLog(const Clock& clock, const Settings& settings)
    : m_clock(clock), m_settings(settings) {}

bool RequestLog::TakeToken(const char* event,
                           bool is_failure,
                           std::uint64_t& suppressed) {
  const double per_second = is_failure ? m_settings.failures_per_second
                                       : m_settings.successes_per_second;
  const auto [found, is_new] =
      m_buckets.try_emplace(std::string(event) + (is_failure ? "-failed" : ""));
  TokenBucket& bucket = found->second;
  const Clock::TimePoint now = m_clock.Now();
  const double elapsed =
      is_new ? 1.0
             : std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens = std::min(per_second, bucket.tokens + elapsed * per_second);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.suppressed;
    return false;
  }
  bucket.tokens -= 1;
  suppressed = bucket.suppressed;
  bucket.suppressed = 0;
  return true;
}

void RequestLog::OnAttempt(const ForwardMetadata& metadata,
                           const std::string& member,
                           const ForwardResult& result,
                           std::chrono::milliseconds took,
                           std::uint64_t view_version) {
  std::uint64_t suppressed = 0;
  if (result.has_answer() || !TakeToken("request-try", true, suppressed))
    return;
  spdlog::info(
      "event=request-try id={} service={} key={} node={} outcome={} reason={} "
      "took_ms={} {} view={} route={} left_out={} detail=\"{}\"",
      metadata.request_id, metadata.service,
      metadata.key ? std::to_string(*metadata.key) : "none", member,
      ToString(result.outcome), ReasonOf(result), took.count(),
      result.times.ToLogFields(), view_version, metadata.route, suppressed,
      result.message);
}

void RequestLog::OnAnswered(const ForwardMetadata& metadata,
                            int status,
                            const ForwardResult& result,
                            unsigned attempts,
                            std::chrono::milliseconds took,
                            std::uint64_t config_version) {
  std::uint64_t suppressed = 0;
  if (!TakeToken("request-answered", !result.has_answer(), suppressed))
    return;
  spdlog::info(
      "event=request-answered id={} priority={} route={} service={} status={} "
      "outcome={} "
      "reason={} tries={} took_ms={} {} retry_after_ms={} config={} "
      "left_out={}",
      metadata.request_id, metadata.priority, metadata.route, metadata.service,
      status, ToString(result.outcome), ReasonOf(result), attempts,
      took.count(), result.times.ToLogFields(), result.retry_after.count(),
      config_version, suppressed);
}

void RequestLog::OnTargetResult(const ForwardMetadata& metadata,
                                const ForwardResult& result,
                                const std::string& from) {
  std::uint64_t suppressed = 0;
  if (!HasFailed(result) || !TakeToken("request-run", true, suppressed))
    return;
  spdlog::info(
      "event=request-run id={} service={} key={} from={} outcome={} reason={} "
      "status={} time_left_ms={} {} hold_left_ms={} route={} left_out={} "
      "detail=\"{}\"",
      metadata.request_id, metadata.service,
      metadata.key ? std::to_string(*metadata.key) : "none", from,
      ToString(result.outcome), ReasonOf(result), result.response.head.status,
      metadata.time_left.count(), result.times.ToLogFields(),
      result.hold_left ? std::to_string(result.hold_left->count()) : "none",
      metadata.route, suppressed, result.message);
}

void RequestLog::OnUnrouted(const std::string& request_id,
                            const std::string& host,
                            const std::string& path,
                            int status,
                            std::uint64_t config_version) {
  std::uint64_t suppressed = 0;
  if (!TakeToken("request-unrouted", true, suppressed))
    return;
  spdlog::info(
      "event=request-unrouted id={} host={} path=\"{}\" status={} config={} "
      "left_out={}",
      request_id, host, path, status, config_version, suppressed);
}

}  // namespace citrongrade
