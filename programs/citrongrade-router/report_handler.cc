#include "programs/citrongrade-router/report_handler.h"

#include <spdlog/spdlog.h>

#include <string>
#include <utility>

#include "modules/transport/mesh/target_controller.h"
#include "platform/target_report_codec.h"

namespace citrongrade {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

HttpResponse Respond(int status, std::string body = "{}") {
  HttpResponse response = HttpResponse::WithStatus(status, std::move(body));
  response.head.headers.push_back({"Content-Type", "application/json"});
  return response;
}

}  // namespace

ReportHandler::ReportHandler(TargetController& controller, std::string service)
    : m_target_controller(controller), m_service(std::move(service)) {}

Task<HttpResponse> ReportHandler::Handle(HttpRequest request,
                                         RequestContext& /*context*/) {
  const std::string id =
      platform::TargetReportCodec::TargetIdOf(request.target);
  if (id.empty())
    co_return Respond(kNotFound);
  if (request.method == "DELETE") {
    m_target_controller.OnLeave(id);
    co_return Respond(co_await m_target_controller.AwaitDepartureStored(id)
                          ? kOk
                          : kUnavailable);
  }
  if (request.method != "PUT")
    co_return Respond(kBadRequest);
  co_return co_await HandleReport(id, std::move(request));
}

const std::string& ReportHandler::ExpectedService(
    const TargetReport& report) const {
  // A process keeps its service, whatever becomes of the host's settings.
  return report.incarnation == m_target_controller.incarnation()
             ? m_target_controller.service()
             : m_service;
}

void ReportHandler::CheckSender(const TargetReport& report) const {
  // This node sends requests only to its own target.
  if (report.address != m_target_controller.address().ToString())
    throw platform::InvalidReportError(
        "Address: not that of this node's target");
  if (report.service != ExpectedService(report))
    throw platform::InvalidReportError("Service: not that of this node");
}

Task<HttpResponse> ReportHandler::HandleReport(std::string id,
                                               HttpRequest request) {
  using platform::TargetReportCodec;
  try {
    const TargetReport report = TargetReportCodec::Decode(id, request.body);
    CheckSender(report);
    const TargetController::ReportResult result =
        m_target_controller.OnReport(report);
    if (report.is_draining &&
        !co_await m_target_controller.AwaitDepartureStored(id))
      co_return Respond(kUnavailable);
    if (result == TargetController::ReportResult::kOutdated) {
      spdlog::info("event=target-report-outdated target={} sequence={}", id,
                   report.sequence);
      co_return Respond(kOk);
    }
    const auto reply = co_await m_target_controller.AwaitGrantReply(report);
    co_return Respond(kOk, TargetReportCodec::EncodeReply(reply));
  } catch (const platform::InvalidReportError& error) {
    spdlog::warn("event=target-report-unreadable target={} reason=\"{}\"", id,
                 error.what());
    co_return Respond(kBadRequest);
  }
}

}  // namespace citrongrade
