#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "modules/coordination/load/transit_delay_estimator.h"
#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/task.h"

namespace citrongrade {

class BodyFlowController;
class RequestLog;
class TargetGateway;

// Handles requests that other nodes forward to this node's target, and their
// withdrawals.
class ForwardedRequestHandler final : public AsyncHttpServer::Handler {
 public:
  ForwardedRequestHandler(const Clock& clock,
                          TargetGateway& gateway,
                          BodyFlowController& gate,
                          RequestLog& log)
      : m_clock(clock),
        m_gateway(gateway),
        m_body_flow_controller(gate),
        m_log(log),
        m_transit_delay(clock) {}

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;
  Task<std::optional<HttpResponse>> AdmitBody(
      HttpRequest head,
      std::uint64_t bytes,
      RequestContext& context,
      std::shared_ptr<void>& permit) override;
  HttpResponse RejectForMemory() override;

 private:
  HttpResponse HandleWithdrawal(const HttpRequest& request,
                                const RequestContext& context);

  const Clock& m_clock;
  TargetGateway& m_gateway;
  BodyFlowController& m_body_flow_controller;
  RequestLog& m_log;
  TransitDelayEstimator m_transit_delay;
};

}  // namespace citrongrade
