#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "modules/coordination/load/transit_delay.h"
#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/task.h"

namespace citrongrade {

class BodyGate;
class RequestLog;
class TargetGateway;

// Requests that other nodes pass on to this node's target.
class WorkHandler final : public AsyncHttpServer::Handler {
 public:
  WorkHandler(const Clock& clock,
              TargetGateway& gateway,
              BodyGate& gate,
              RequestLog& log)
      : m_clock(clock),
        m_gateway(gateway),
        m_gate(gate),
        m_log(log),
        m_transit_delay(clock) {}

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;
  Task<std::optional<HttpResponse>> AdmitBody(
      HttpRequest head,
      std::uint64_t bytes,
      RequestContext& context,
      std::shared_ptr<void>& place) override;

 private:
  const Clock& m_clock;
  TargetGateway& m_gateway;
  BodyGate& m_gate;
  RequestLog& m_log;
  TransitDelay m_transit_delay;
};

}  // namespace citrongrade
