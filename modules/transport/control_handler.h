#pragma once

#include <atomic>
#include <string>

#include "modules/transport/http_handler.h"

namespace citrongrade {

class NodeMetrics;
class RoutingTable;
class TargetDispatcher;

// Serves the target's announcements and operators: dump, metrics, readiness,
// drain. On an address of its own, which no caller's burst can fill.
class ControlHandler final : public HttpHandler {
 public:
  // Gives the dump as JSON text.
  class DumpSource {
   public:
    virtual ~DumpSource() = default;
    virtual std::string Dump() = 0;
  };

  // All outlive the handler.
  ControlHandler(TargetDispatcher& dispatcher,
                 const RoutingTable& table,
                 const NodeMetrics& metrics,
                 DumpSource& dump_source);

  void Handle(HttpExchange& exchange) override;

  // An operator asked the node to leave.
  bool drain_requested() const { return m_drain_requested; }

 private:
  void HandleAnnouncement(HttpExchange& exchange);
  void HandleReady(HttpExchange& exchange);
  void HandleDrain(HttpExchange& exchange);

  TargetDispatcher& m_dispatcher;
  const RoutingTable& m_table;
  const NodeMetrics& m_metrics;
  DumpSource& m_dump_source;
  std::atomic<bool> m_drain_requested = false;
};

}  // namespace citrongrade
