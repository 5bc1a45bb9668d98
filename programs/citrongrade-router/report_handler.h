#pragma once

#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/task.h"

namespace citrongrade {

class TargetController;

// What the target beside this node says of itself, and what it is told to hold
// in the answers.
class ReportHandler final : public AsyncHttpServer::Handler {
 public:
  explicit ReportHandler(TargetController& keeper)
      : m_target_controller(keeper) {}

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;

 private:
  Task<HttpResponse> HandleReport(std::string id, HttpRequest request);

  TargetController& m_target_controller;
};

}  // namespace citrongrade
