#pragma once

#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/task.h"

namespace citrongrade {

class TargetController;

// Receives the reports of this node's target, and replies with the ranges that
// it is to hold.
class ReportHandler final : public AsyncHttpServer::Handler {
 public:
  explicit ReportHandler(TargetController& controller)
      : m_target_controller(controller) {}

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;

 private:
  Task<HttpResponse> HandleReport(std::string id, HttpRequest request);

  TargetController& m_target_controller;
};

}  // namespace citrongrade
