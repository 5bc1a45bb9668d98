#pragma once

#include <atomic>
#include <cstddef>

#include "modules/transport/caller_request_parser.h"
#include "modules/transport/http_handler.h"
#include "modules/transport/request_id_generator.h"

namespace citrongrade {

class Clock;
class DataRpcClient;
class NodeMetrics;
class RequestCarrier;
class RouteChooser;
class RoutingTable;

// Serves callers: each request is understood, carried to whoever runs it,
// perhaps again to another, and answered. Runs on CivetWeb's threads, one for
// each caller's connection. Kin: CallerExchange, one request of it.
class CallerHandler final : public HttpHandler {
 public:
  // All outlive the handler.
  struct Dependencies {
    const Clock& clock;
    const RoutingTable& table;
    RouteChooser& chooser;
    // Runs requests at this node's own target.
    RequestCarrier& local;
    DataRpcClient& remote;
    NodeMetrics& metrics;
  };

  explicit CallerHandler(const Dependencies& dependencies);

  void Handle(HttpExchange& exchange) override;
  std::optional<HttpResponse> RefuseUnreadable() override;

  // From now on every request is refused, and its connection closed.
  void StopTaking() { m_stopped = true; }
  std::size_t in_flight() const { return m_in_flight; }

 private:
  const Dependencies m_dependencies;
  const CallerRequestParser m_parser;
  RequestIdGenerator m_request_ids;
  std::atomic<std::size_t> m_in_flight = 0;
  std::atomic<bool> m_stopped = false;
};

}  // namespace citrongrade
