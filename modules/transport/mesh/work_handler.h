#pragma once

#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/task.h"

namespace citrongrade {

class RequestLog;
class TargetGateway;

// Requests that other nodes pass on to this node's target.
class WorkHandler final : public AsyncHttpServer::Handler {
 public:
  WorkHandler(TargetGateway& gateway, RequestLog& log)
      : m_gateway(gateway), m_log(log) {}

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;

 private:
  TargetGateway& m_gateway;
  RequestLog& m_log;
};

}  // namespace citrongrade
