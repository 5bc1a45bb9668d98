#include "modules/transport/mesh/forwarded_request_handler.h"

#include <spdlog/spdlog.h>

#include <set>
#include <string>
#include <utility>

#include "modules/protocol/malformed_message_error.h"
#include "modules/transport/async/request_context.h"
#include "modules/transport/mesh/body_flow_controller.h"
#include "modules/transport/mesh/forward_metadata.h"
#include "modules/transport/mesh/forward_result.h"
#include "modules/transport/mesh/request_log.h"
#include "modules/transport/mesh/target_gateway.h"
#include "modules/transport/mesh/withdrawal_message.h"

namespace citrongrade {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr std::chrono::milliseconds kRetryAfterMemory{300};

}  // namespace

Task<HttpResponse> ForwardedRequestHandler::Handle(HttpRequest request,
                                                   RequestContext& context) {
  if (WithdrawalMessage::IsIn(request))
    co_return HandleWithdrawal(request, context);
  TakeHeader(request.headers, "Expect");
  ForwardMetadata metadata;
  try {
    metadata = ForwardMetadata::ExtractFrom(request);
  } catch (const MalformedMessageError&) {
    co_return HttpResponse::WithStatus(kBadRequest);
  }
  const auto transit =
      std::chrono::floor<std::chrono::milliseconds>(m_transit_delay.OnArrived(
          metadata.sender_id, metadata.sent_at, context.arrived()));
  const auto body_time = std::chrono::floor<std::chrono::milliseconds>(
      m_clock.Now() - context.arrived());
  metadata.time_left -= transit + body_time;
  metadata.soft_time_left -= transit + body_time;
  ForwardResult result;
  if (metadata.time_left <= std::chrono::milliseconds(0)) {
    result = ForwardResult::NotRun(RequestErrorCode::kDeadlinePassed,
                                   "its time was over before it came here");
  } else {
    result = co_await m_gateway.Run(std::move(request), metadata, context);
  }
  result.times.transit = transit;
  result.times.body = body_time;
  m_log.OnTargetResult(metadata, result, context.caller_ip());
  co_return result.ToHttpResponse();
}

HttpResponse ForwardedRequestHandler::HandleWithdrawal(
    const HttpRequest& request,
    const RequestContext& context) {
  try {
    const auto message = WithdrawalMessage::FromHttpRequest(request);
    const std::set<std::string> ids(message.request_ids.begin(),
                                    message.request_ids.end());
    const std::size_t withdrawn =
        m_gateway.Withdraw(message.sender_id, ids) +
        m_body_flow_controller.Withdraw(message.sender_id, ids);
    if (withdrawn > 0) {
      spdlog::info(
          "event=requests-withdrawn-by-peer from={} asked={} "
          "withdrawn={}",
          context.caller_ip(), message.request_ids.size(), withdrawn);
    }
    return HttpResponse::WithStatus(kOk);
  } catch (const MalformedMessageError&) {
    return HttpResponse::WithStatus(kBadRequest);
  }
}

Task<std::optional<HttpResponse>> ForwardedRequestHandler::AdmitBody(
    HttpRequest head,
    std::uint64_t bytes,
    RequestContext& context,
    std::shared_ptr<void>& permit) {
  ForwardMetadata metadata;
  try {
    metadata = ForwardMetadata::ExtractFrom(head);
  } catch (const MalformedMessageError&) {
    // Handle() answers with 400.
    co_return std::nullopt;
  }
  const Clock::Duration transit = m_transit_delay.OnArrived(
      metadata.sender_id, metadata.sent_at, context.arrived());
  const Clock::TimePoint sent = context.arrived() - transit;
  const std::chrono::microseconds service_time(
      m_gateway.mean_service_time_us());
  // A named object, as GCC 12 destroys a braced argument of a coroutine twice.
  const BodyFlowController::Owner owner{metadata.sender_id,
                                        metadata.request_id};
  permit = co_await m_body_flow_controller.Acquire(
      owner, bytes, sent + metadata.soft_time_left - service_time,
      sent + metadata.time_left - service_time);
  if (permit)
    co_return std::nullopt;
  ForwardResult result = ForwardResult::NotRun(
      RequestErrorCode::kOverloaded, "its body can't come in time",
      std::chrono::ceil<std::chrono::milliseconds>(
          m_body_flow_controller.DrainTime()));
  result.times.transit = std::chrono::floor<std::chrono::milliseconds>(transit);
  result.times.body = std::chrono::floor<std::chrono::milliseconds>(
      m_clock.Now() - context.arrived());
  m_log.OnTargetResult(metadata, result, context.caller_ip());
  co_return result.ToHttpResponse();
}

HttpResponse ForwardedRequestHandler::RejectForMemory() {
  return ForwardResult::NotRun(RequestErrorCode::kOverloaded,
                               "no memory for its body", kRetryAfterMemory)
      .ToHttpResponse();
}

}  // namespace citrongrade
