#include "programs/citrongrade-target-standin/run_reporter.h"

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "modules/transport/http_address.h"
#include "modules/transport/http_client_connection.h"
#include "modules/transport/http_connection_pool.h"
#include "modules/transport/http_errors.h"
#include "programs/citrongrade-target-standin/run_report.h"

namespace citrongrade {

namespace {

constexpr std::chrono::seconds kTimeout(10);
constexpr std::size_t kMaxResponseBytes = 4096;
constexpr std::size_t kMaxIdleConnections = 64;
constexpr int kNoContent = 204;

}  // namespace

class RunReporter::Implementation {
 public:
  explicit Implementation(const HttpAddress& collector)
      : m_pool(collector, kMaxIdleConnections) {}

  void Report(const RunReport& report) {
    const HttpRequest request = {.method = "POST",
                                 .target = "/v1/runs",
                                 .headers = {},
                                 .body = BodyOf(report)};
    try {
      Send(request, m_pool.Take());
    } catch (const ConnectionClosedError&) {
      // A kept connection may be to a collector that is gone since. Sent twice,
      // a report counts once, by its number.
      m_pool.Clear();
      Send(request, m_pool.Open());
    }
  }

 private:
  static std::string BodyOf(const RunReport& report) {
    return nlohmann::json({{"target", report.target},
                           {"process", report.process},
                           {"number", report.number},
                           {"idempotency_key", report.idempotency_key},
                           {"call_id", report.call_id},
                           {"key", report.key}})
        .dump();
  }

  void Send(const HttpRequest& request, HttpClientConnection connection) {
    const HttpResponse response =
        connection.Call(request, kTimeout, kMaxResponseBytes);
    if (response.head.status != kNoContent)
      throw HttpError("the collector refused a run's report");
    m_pool.GiveBack(std::move(connection));
  }

  HttpConnectionPool m_pool;
};

RunReporter::RunReporter(const HttpAddress& collector)
    : m_implementation(std::make_unique<Implementation>(collector)) {}

RunReporter::~RunReporter() = default;

void RunReporter::Report(const RunReport& report) {
  m_implementation->Report(report);
}

}  // namespace citrongrade
