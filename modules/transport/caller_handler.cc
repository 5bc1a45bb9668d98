#include "modules/transport/caller_handler.h"

#include <chrono>

#include "modules/coordination/clock.h"
#include "modules/transport/caller_exchange.h"
#include "modules/transport/http_exchange.h"
#include "modules/transport/node_metrics.h"
#include "modules/transport/refusals.h"
#include "modules/transport/request_refused_error.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kRetryAfterStopped{1000};

class ScopedCount {
 public:
  explicit ScopedCount(std::atomic<std::size_t>& count) : m_count(count) {
    ++m_count;
  }
  ~ScopedCount() { --m_count; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::atomic<std::size_t>& m_count;
};

}  // namespace

CallerHandler::CallerHandler(const Dependencies& dependencies)
    : m_dependencies(dependencies), m_parser(dependencies.table) {}

void CallerHandler::Handle(HttpExchange& exchange) {
  const ScopedCount in_flight(m_in_flight);
  const Clock::TimePoint arrived = m_dependencies.clock.Now();
  try {
    if (m_stopped) {
      exchange.CloseConnection();
      throw RequestRefusedError(RefuseNotRun(RequestErrorCode::kNodeDraining,
                                             "this node is leaving",
                                             kRetryAfterStopped));
    }
    CallerExchange(m_dependencies, m_request_ids, exchange).Serve(m_parser);
  } catch (const RequestRefusedError& error) {
    const AnswerHead& refusal = error.refusal();
    m_dependencies.metrics.OnRefused(*refusal.error);
    CallerExchange::SendRefusal(exchange, refusal, m_request_ids.Next());
    m_dependencies.metrics.OnAnswered(refusal.outcome,
                                      m_dependencies.clock.Now() - arrived);
  }
}

std::optional<HttpResponse> CallerHandler::RefuseUnreadable() {
  const AnswerHead refusal = RefuseNotRun(
      RequestErrorCode::kMalformedRequest,
      "the request can't be read as HTTP, or its head is far too large");
  m_dependencies.metrics.OnRefused(*refusal.error);
  return CallerExchange::MakeRefusal(refusal, m_request_ids.Next());
}

}  // namespace citrongrade
