#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/retry_budget.h"
#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/task.h"
#include "modules/transport/mesh/forward_metadata.h"
#include "modules/transport/mesh/forward_result.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class AsyncConnectionPool;
class ConfigFollower;
class InstanceChooser;
class MeshAgent;
class RequestLog;
class RouterMetrics;
class WireProtocol;
class TargetGateway;
struct MeshMember;
struct SlotAssignment;
struct RouteRule;

// Callers' requests at the node where they begin: finds the route, the service
// and the node that is to run each, passes it on, tries again what may be tried
// again, and answers.
//
// What it answers as not run did not run and will not. A request that is not
// idempotent goes on to another try only when the one before proved that.
//
// On the event loop. Kin: TargetGateway at the node beside the target.
class RequestRouter final : public AsyncHttpServer::Handler {
 public:
  struct Dependencies {
    boost::asio::io_context& loop;
    const Clock& clock;
    const WireProtocol& dialect;
    ConfigFollower& config;
    MeshAgent& agent;
    TargetGateway& gateway;
    InstanceChooser& chooser;
    AsyncConnectionPool& peers;
    RouterMetrics& metrics;
    RequestLog& log;
  };

  // `origin_service`: of the target beside this node.
  RequestRouter(const Dependencies& dependencies, std::string origin_service);

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;
  bool MayOverlap(const HttpRequest& request) const override;

  // Requests that wait for an owner look again.
  void OnViewChanged();
  void SetOriginService(std::string service) {
    m_origin_service = std::move(service);
  }
  // The part of the mesh's retries that this node may use.
  void SetRetryBurst(double burst);

 private:
  struct RoutedRequest;
  struct Waiter;

  Task<ForwardResult> RouteWithRetries(HttpRequest& request,
                                       const RouteRule& route,
                                       RoutedRequest& attempt,
                                       RequestContext& context);
  // Who is to run it now. None: nobody can.
  std::optional<std::string> FindMember(const RoutedRequest& attempt) const;
  Task<ForwardResult> SendToMember(const HttpRequest& request,
                                   const std::string& member,
                                   RoutedRequest& attempt,
                                   RequestContext& context);
  Task<ForwardResult> Forward(HttpRequest request,
                              const MeshMember& member,
                              ForwardMetadata order,
                              RequestContext& context);
  // True when another try is due; it may have waited for one.
  Task<bool> PrepareRetry(const ForwardResult& result,
                          const RouteRule& route,
                          RoutedRequest& attempt,
                          RequestContext& context);
  // The same, where the key's own target has refused it without running it.
  Task<bool> PrepareRetryAtOwner(const RoutedRequest& attempt,
                                 RequestContext& context);
  // The run of slots that the request's key is in; nullptr: nobody owns it.
  const SlotAssignment* FindAssignment(const RoutedRequest& attempt) const;
  // Fencing token under which the request's key is owned; 0: by nobody.
  std::uint64_t FenceOf(const RoutedRequest& attempt) const;
  Task<> AwaitOwnerChange(const RoutedRequest& attempt,
                          Clock::TimePoint until,
                          RequestContext& context);
  Task<> AwaitViewChange(std::chrono::milliseconds longest,
                         RequestContext& context);
  std::string ChooseService(const RouteRule& route);
  RetryBudget& BudgetOf(const std::string& service);
  HttpResponse MakeResponse(ForwardResult result, const RoutedRequest& attempt);
  static HttpResponse MakeUnroutedResponse(int status);

  const Dependencies m_dependencies;
  std::string m_origin_service;
  double m_retry_burst = 2;
  std::map<std::string, RetryBudget> m_budgets;
  // By route: what each destination is still owed of its weight.
  std::map<std::string, std::map<std::string, double>> m_route_credits;
  std::set<std::shared_ptr<Waiter>> m_waiters;
};

}  // namespace citrongrade
