#pragma once

#include "modules/coordination/load/transit_delay.h"
#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/task.h"

namespace citrongrade {

class RequestLog;
class TargetGateway;

// Requests that other nodes pass on to this node's target.
class WorkHandler final : public AsyncHttpServer::Handler {
 public:
  WorkHandler(const Clock& clock, TargetGateway& gateway, RequestLog& log)
      : m_clock(clock),
        m_gateway(gateway),
        m_log(log),
        m_transit_delay(clock) {}

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;

 private:
  const Clock& m_clock;
  TargetGateway& m_gateway;
  RequestLog& m_log;
  TransitDelay m_transit_delay;
};

}  // namespace citrongrade
