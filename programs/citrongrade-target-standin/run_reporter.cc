#include "programs/citrongrade-target-standin/run_reporter.h"

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

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
    HttpClientConnection connection = m_pool.Take();
    const HttpResponse response = connection.Call(
        {.method = "POST",
         .target = "/v1/runs",
         .headers = {},
         .body = nlohmann::json({{"target", report.target},
                                 {"number", report.number},
                                 {"idempotency_key", report.idempotency_key},
                                 {"call_id", report.call_id},
                                 {"key", report.key}})
                     .dump()},
        kTimeout, kMaxResponseBytes);
    if (response.head.status != kNoContent)
      throw HttpError("the collector refused a run's report");
    m_pool.GiveBack(std::move(connection));
  }

 private:
  HttpConnectionPool m_pool;
};

RunReporter::RunReporter(const HttpAddress& collector)
    : m_implementation(std::make_unique<Implementation>(collector)) {}

RunReporter::~RunReporter() = default;

void RunReporter::Report(const RunReport& report) {
  m_implementation->Report(report);
}

}  // namespace citrongrade
