#include "modules/transport/mesh/work_handler.h"

#include <utility>

#include "modules/protocol/malformed_message_error.h"
#include "modules/transport/async/request_context.h"
#include "modules/transport/mesh/body_gate.h"
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
  TakeHeader(request.headers, "Expect");
  WorkOrder order;
  try {
    order = WorkOrder::TakeFrom(request);
  } catch (const MalformedMessageError&) {
    co_return HttpResponse::WithStatus(kBadRequest);
  }
  const auto held_up = std::chrono::floor<std::chrono::milliseconds>(
      m_transit_delay.OnArrived(order.sender, order.sent, context.arrived()));
  const auto body = std::chrono::floor<std::chrono::milliseconds>(
      m_clock.Now() - context.arrived());
  order.time_left -= held_up + body;
  order.aim_left -= held_up + body;
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

Task<std::optional<HttpResponse>> WorkHandler::AdmitBody(
    HttpRequest head,
    std::uint64_t bytes,
    RequestContext& context,
    std::shared_ptr<void>& place) {
  WorkOrder order;
  try {
    order = WorkOrder::TakeFrom(head);
  } catch (const MalformedMessageError&) {
    // Handle() says so.
    co_return std::nullopt;
  }
  const Clock::Duration held_up =
      m_transit_delay.OnArrived(order.sender, order.sent, context.arrived());
  const Clock::TimePoint sent = context.arrived() - held_up;
  const std::chrono::microseconds work(m_gateway.mean_work_us());
  place = co_await m_gate.Enter(bytes, sent + order.aim_left - work,
                                sent + order.time_left - work);
  if (place)
    co_return std::nullopt;
  WorkResult result = WorkResult::NotRun(
      RequestErrorCode::kOverloaded, "its body can't come in time",
      std::chrono::ceil<std::chrono::milliseconds>(m_gate.DrainTime()));
  result.times.way = std::chrono::floor<std::chrono::milliseconds>(held_up);
  result.times.body = std::chrono::floor<std::chrono::milliseconds>(
      m_clock.Now() - context.arrived());
  m_log.OnRun(order, result, context.caller_ip());
  co_return result.ToHop();
}

}  // namespace citrongrade
