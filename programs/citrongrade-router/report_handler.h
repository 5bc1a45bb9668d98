#pragma once

#include <string>

#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/task.h"

namespace citrongrade {

class TargetController;
struct TargetReport;

// Receives the reports of this node's target, and replies with the ranges that
// it is to hold. A report of another service or address is rejected: it doesn't
// come from the target.
class ReportHandler final : public AsyncHttpServer::Handler {
 public:
  // `service`: that of the host's target.
  ReportHandler(TargetController& controller, std::string service);

  void SetService(const std::string& service) { m_service = service; }

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;

 private:
  Task<HttpResponse> HandleReport(std::string id, HttpRequest request);
  // Throws platform::InvalidReportError.
  void CheckSender(const TargetReport& report) const;
  const std::string& ExpectedService(const TargetReport& report) const;

  TargetController& m_target_controller;
  std::string m_service;
};

}  // namespace citrongrade
