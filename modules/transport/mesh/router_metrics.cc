#include "modules/transport/mesh/router_metrics.h"

#include <algorithm>
#include <sstream>

#include "modules/transport/mesh/forward_result.h"
#include "modules/transport/refusals.h"

namespace citrongrade {

void RouterMetrics::OnAnswered(const std::string& route,
                               const ForwardResult& result,
                               Clock::Duration took) {
  const std::string outcome =
      result.error ? std::string(ToString(*result.error)) : "done";
  ++m_answers[route][outcome];
  LatencyHistogram& latency = m_latencies[route];
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
  const auto bound = std::lower_bound(kBucketBoundsMs.begin(),
                                      kBucketBoundsMs.end(), milliseconds);
  ++latency.buckets[static_cast<std::size_t>(bound - kBucketBoundsMs.begin())];
  ++latency.count;
  latency.sum_seconds += std::chrono::duration<double>(took).count();
}

std::string RouterMetrics::ToText() const {
  std::ostringstream out;
  for (const auto& [route, outcomes] : m_answers) {
    for (const auto& [outcome, count] : outcomes) {
      out << "citrongrade_requests_total{route=\"" << route << "\",outcome=\""
          << outcome << "\"} " << count << "\n";
    }
  }
  for (const auto& [route, latency] : m_latencies) {
    const std::string label = "route=\"" + route + "\"";
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < kBucketBoundsMs.size(); ++i) {
      sum += latency.buckets[i];
      out << "citrongrade_request_seconds_bucket{" << label << ",le=\""
          << kBucketBoundsMs[i] / 1000.0 << "\"} " << sum << "\n";
    }
    out << "citrongrade_request_seconds_bucket{" << label << ",le=\"+Inf\"} "
        << latency.count << "\n";
    out << "citrongrade_request_seconds_sum{" << label << "} "
        << latency.sum_seconds << "\n";
    out << "citrongrade_request_seconds_count{" << label << "} "
        << latency.count << "\n";
  }
  for (const auto& [route, services] : m_destinations) {
    for (const auto& [service, count] : services) {
      out << "citrongrade_route_destinations_total{route=\"" << route
          << "\",service=\"" << service << "\"} " << count << "\n";
    }
  }
  for (const auto& [service, count] : m_retries)
    out << "citrongrade_retries_total{service=\"" << service << "\"} " << count
        << "\n";
  for (const auto& [status, count] : m_unrouted)
    out << "citrongrade_unrouted_total{status=\"" << status << "\"} " << count
        << "\n";
  return out.str();
}

}  // namespace citrongrade
