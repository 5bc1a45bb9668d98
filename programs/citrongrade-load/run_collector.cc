#include "programs/citrongrade-load/run_collector.h"

#include <nlohmann/json.hpp>

#include "modules/transport/http_exchange.h"
#include "programs/citrongrade-load/run_ledger.h"
#include "programs/citrongrade-target-standin/run_report.h"

namespace citrongrade {

namespace {

constexpr std::size_t kMaxReportBytes = 16384;
constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;

}  // namespace

void RunCollector::Handle(HttpExchange& exchange) {
  const auto body = nlohmann::json::parse(
      exchange.ReadWholeBody(kMaxReportBytes), nullptr, false);
  if (exchange.path() != "/v1/runs" || !body.is_object()) {
    exchange.Send(kBadRequest, {}, {});
    return;
  }
  m_ledger.Note({.target = body.value("target", ""),
                 .process = body.value("process", ""),
                 .number = body.value("number", std::uint64_t{0}),
                 .idempotency_key = body.value("idempotency_key", ""),
                 .call_id = body.value("call_id", ""),
                 .key = body.value("key", "")});
  exchange.Send(kNoContent, {}, {});
}

}  // namespace citrongrade
