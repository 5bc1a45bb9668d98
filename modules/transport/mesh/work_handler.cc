#include "modules/transport/mesh/work_handler.h"

#include <utility>

#include "modules/protocol/malformed_message_error.h"
#include "modules/transport/async/request_context.h"
#include "modules/transport/mesh/request_log.h"
#include "modules/transport/mesh/target_gateway.h"
#include "modules/transport/mesh/work_order.h"
#include "modules/transport/mesh/work_result.h"

namespace citrongrade {

namespace {

constexpr int kBadRequest = 400;

}  // namespace

Task<HttpResponse> WorkHandler::Handle(HttpRequest request,
                                       RequestContext& context) {
  WorkOrder order;
  try {
    order = WorkOrder::TakeFrom(request);
  } catch (const MalformedMessageError&) {
    HttpResponse refusal;
    refusal.head.status = kBadRequest;
    co_return refusal;
  }
  const auto held_up = std::chrono::floor<std::chrono::milliseconds>(
      m_transit_delay.OnArrived(order.sender, order.sent, context.arrived()));
  order.time_left -= held_up;
  order.aim_left -= held_up;
  const auto body = std::chrono::floor<std::chrono::milliseconds>(
      m_clock.Now() - context.arrived());
  WorkResult result;
  if (order.time_left <= std::chrono::milliseconds(0)) {
    result = WorkResult::NotRun(RequestErrorCode::kDeadlinePassed,
                                "its time was over before it came here");
  } else {
    result = co_await m_gateway.Run(std::move(request), order, context);
  }
  result.times.way = held_up;
  result.times.body = body;
  m_log.OnRun(order, result, context.caller_ip());
  co_return result.ToHop();
}

}  // namespace citrongrade
