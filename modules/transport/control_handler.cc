#include "modules/transport/control_handler.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

#include "modules/coordination/routing_table.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/http_exchange.h"
#include "modules/transport/node_metrics.h"
#include "modules/transport/target_announcement_codec.h"
#include "modules/transport/target_dispatcher.h"

namespace citrongrade {

namespace {

constexpr std::size_t kMaxAnnouncementBytes = 16 * 1024;
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;

void Send(HttpExchange& exchange,
          int status,
          const char* content_type,
          std::string_view body) {
  const HttpHeader headers[] = {{"Content-Type", content_type}};
  exchange.Send(status, headers, body);
}

void SendJson(HttpExchange& exchange, int status, const nlohmann::json& body) {
  constexpr auto kReplaceBadText = nlohmann::json::error_handler_t::replace;
  Send(exchange, status, "application/json",
       body.dump(-1, ' ', false, kReplaceBadText));
}

void SendError(HttpExchange& exchange,
               int status,
               const char* error,
               const std::string& message) {
  SendJson(exchange, status, {{"error", error}, {"message", message}});
}

}  // namespace

ControlHandler::ControlHandler(TargetDispatcher& dispatcher,
                               const RoutingTable& table,
                               const NodeMetrics& metrics,
                               DumpSource& dump_source)
    : m_dispatcher(dispatcher),
      m_table(table),
      m_metrics(metrics),
      m_dump_source(dump_source) {}

void ControlHandler::Handle(HttpExchange& exchange) {
  const std::string call = exchange.method() + " " + exchange.path();
  if (call == "POST /v1/targets")
    HandleAnnouncement(exchange);
  else if (call == "GET /v1/dump")
    Send(exchange, kOk, "application/json", m_dump_source.Dump());
  else if (call == "GET /v1/metrics")
    Send(exchange, kOk, "text/plain", m_metrics.Render());
  else if (call == "GET /v1/ready")
    HandleReady(exchange);
  else if (call == "POST /v1/drain")
    HandleDrain(exchange);
  else
    SendError(exchange, kNotFound, "unknown-call", call);
}

void ControlHandler::HandleAnnouncement(HttpExchange& exchange) {
  try {
    const std::string body = exchange.ReadWholeBody(kMaxAnnouncementBytes);
    m_dispatcher.OnAnnouncement(TargetAnnouncementCodec::Decode(body));
    SendJson(exchange, kOk, {{"accepted", true}});
  } catch (const InvalidAnnouncementError& error) {
    SendError(exchange, kBadRequest, "invalid-announcement", error.what());
  } catch (const BodyTooLargeError& error) {
    SendError(exchange, kTooLarge, "body-too-large", error.what());
  }
}

void ControlHandler::HandleReady(HttpExchange& exchange) {
  const bool ready = m_table.IsReady();
  SendJson(exchange, ready ? kOk : kUnavailable, {{"ready", ready}});
}

void ControlHandler::HandleDrain(HttpExchange& exchange) {
  spdlog::info("event=drain-requested by={}", exchange.remote_address());
  m_drain_requested = true;
  SendJson(exchange, kAccepted, {{"draining", true}});
}

}  // namespace citrongrade
