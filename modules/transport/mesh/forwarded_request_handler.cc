#include "modules/transport/mesh/forwarded_request_handler.h"

#include <utility>

#include "modules/protocol/malformed_message_error.h"
#include "modules/transport/async/request_context.h"
#include "modules/transport/mesh/body_flow_controller.h"
#include "modules/transport/mesh/forward_metadata.h"
#include "modules/transport/mesh/forward_result.h"
#include "modules/transport/mesh/request_log.h"
#include "modules/transport/mesh/target_gateway.h"

namespace citrongrade {

namespace {

constexpr int kBadRequest = 400;

}  // namespace

Task<HttpResponse> ForwardedRequestHandler::Handle(HttpRequest request,
                                                   RequestContext& context) {
  TakeHeader(request.headers, "Expect");
  ForwardMetadata order;
  try {
    order = ForwardMetadata::ExtractFrom(request);
  } catch (const MalformedMessageError&) {
    co_return HttpResponse::WithStatus(kBadRequest);
  }
  const auto held_up =
      std::chrono::floor<std::chrono::milliseconds>(m_transit_delay.OnArrived(
          order.sender_id, order.sent_at, context.arrived()));
  const auto body = std::chrono::floor<std::chrono::milliseconds>(
      m_clock.Now() - context.arrived());
  order.time_left -= held_up + body;
  order.soft_time_left -= held_up + body;
  ForwardResult result;
  if (order.time_left <= std::chrono::milliseconds(0)) {
    result = ForwardResult::NotRun(RequestErrorCode::kDeadlinePassed,
                                   "its time was over before it came here");
  } else {
    result = co_await m_gateway.Run(std::move(request), order, context);
  }
  result.times.transit = held_up;
  result.times.body = body;
  m_log.OnTargetResult(order, result, context.caller_ip());
  co_return result.ToHttpResponse();
}

Task<std::optional<HttpResponse>> ForwardedRequestHandler::AdmitBody(
    HttpRequest head,
    std::uint64_t bytes,
    RequestContext& context,
    std::shared_ptr<void>& place) {
  ForwardMetadata order;
  try {
    order = ForwardMetadata::ExtractFrom(head);
  } catch (const MalformedMessageError&) {
    // Handle() says so.
    co_return std::nullopt;
  }
  const Clock::Duration held_up = m_transit_delay.OnArrived(
      order.sender_id, order.sent_at, context.arrived());
  const Clock::TimePoint sent = context.arrived() - held_up;
  const std::chrono::microseconds work(m_gateway.mean_service_time_us());
  place = co_await m_body_flow_controller.Acquire(
      bytes, sent + order.soft_time_left - work, sent + order.time_left - work);
  if (place)
    co_return std::nullopt;
  ForwardResult result = ForwardResult::NotRun(
      RequestErrorCode::kOverloaded, "its body can't come in time",
      std::chrono::ceil<std::chrono::milliseconds>(
          m_body_flow_controller.DrainTime()));
  result.times.transit = std::chrono::floor<std::chrono::milliseconds>(held_up);
  result.times.body = std::chrono::floor<std::chrono::milliseconds>(
      m_clock.Now() - context.arrived());
  m_log.OnTargetResult(order, result, context.caller_ip());
  co_return result.ToHttpResponse();
}

}  // namespace citrongrade
