#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/retry_budgets.h"
#include "modules/coordination/load/target_notices.h"
#include "modules/coordination/load/weighted_destinations.h"
#include "modules/coordination/load/withdrawal_schedule.h"
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

// Handles callers' requests at the node that receives them: finds the route,
// the service and the node that should run the request, forwards it, retries
// where that is safe, and answers the caller.
//
// A request that is answered as not run has not run and will not run. A request
// that is not idempotent is retried only if the attempt before is proved not to
// have run.
//
// Runs on the event loop. TargetGateway does the part at the target's node.
class RequestRouter final : public AsyncHttpServer::Handler {
 public:
  struct Dependencies {
    boost::asio::io_context& loop;
    const Clock& clock;
    const WireProtocol& protocol;
    ConfigFollower& config;
    MeshAgent& agent;
    TargetGateway& gateway;
    InstanceChooser& chooser;
    AsyncConnectionPool& peers;
    RouterMetrics& metrics;
    RequestLog& log;
    // By availability zone: its region.
    const std::map<std::string, std::string>& region_by_zone;
    // How long a target that leaves still gets requests.
    std::chrono::milliseconds drain_period;
  };

  // `origin_service`: service of the target beside this node.
  RequestRouter(const Dependencies& dependencies, std::string origin_service);

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;
  bool CanPipeline(const HttpRequest& request) const override;

  // Wakes the requests that wait for a change of the view.
  void OnViewChanged();
  void SetOriginService(std::string service) {
    m_origin_service = std::move(service);
  }
  // This node stops. From now on a request is forwarded with a time limit that
  // ends at `answer_by`; nothing can be answered after `end`.
  void BeginShutdown(Clock::TimePoint answer_by, Clock::TimePoint end);
  // Withdraws forwarded requests that may wait at another node for too long.
  // Must be called every 25 ms during the shutdown.
  void WithdrawWaiting();
  // Requests that another node has rejected because this one withdrew them.
  std::uint64_t withdrawn_count() const { return m_withdrawn_count; }
  // By the name of the route.
  const std::map<std::string, WeightedDestinations>& destinations() const {
    return m_destinations;
  }
  // Sets the burst of the retry budgets: this node's part of the mesh's
  // retries.
  void SetRetryBurst(double burst) { m_budgets.SetBurst(burst); }

 private:
  struct RoutedRequest;
  struct Waiter;
  class ForwardGuard;

  Task<ForwardResult> RouteWithRetries(HttpRequest& request,
                                       const RouteRule& route,
                                       RoutedRequest& routed,
                                       RequestContext& context);
  // Returns the mesh address of the member that should run the request now;
  // empty if there is none.
  std::optional<std::string> FindMember(const RouteRule& route,
                                        const RoutedRequest& routed) const;
  // Whether the route's regions allow the member to run its requests. A zone of
  // unknown region is in none.
  bool IsInAllowedRegion(const RouteRule& route,
                         const MeshMember& member) const;
  std::set<std::string> MembersOutsideRegions(const RouteRule& route) const;
  // Members of the service whose targets have left, by this node's own
  // knowledge.
  std::set<std::string> MembersThatLeft(const std::string& service) const;
  // Remembers what the result tells of the member's target.
  void RecordNotice(const std::string& member, const ForwardResult& result);
  // Why no member can run the request now.
  ForwardResult RefuseWithoutMember(const RoutedRequest& routed) const;
  bool IsOwnerOutsideRegions(const RouteRule& route,
                             const RoutedRequest& routed) const;
  Task<ForwardResult> SendToMember(const HttpRequest& request,
                                   const std::string& member,
                                   RoutedRequest& routed,
                                   RequestContext& context);
  Task<> SendWithdrawal(WithdrawalSchedule::Batch batch);
  // When the request must be answered: its deadline, or earlier if this node
  // stops.
  Clock::TimePoint DeadlineOf(const RoutedRequest& routed) const;
  Task<ForwardResult> Forward(HttpRequest request,
                              const MeshMember& member,
                              ForwardMetadata metadata,
                              RequestContext& context);
  // Returns true if another attempt should be made now. May wait before it
  // returns.
  Task<bool> PrepareRetry(const ForwardResult& result,
                          const RouteRule& route,
                          RoutedRequest& routed,
                          RequestContext& context);
  // The same for a request that the key's owner has refused without running it.
  Task<bool> PrepareRetryAtOwner(const RoutedRequest& routed,
                                 RequestContext& context);
  // Returns the slot assignment of the request's key; nullptr if no node owns
  // it.
  const SlotAssignment* FindAssignment(const RoutedRequest& routed) const;
  // Returns the fencing token of the key's assignment; 0 if no node owns it.
  std::uint64_t FenceOf(const RoutedRequest& routed) const;
  Task<> AwaitOwnerChange(const RoutedRequest& routed,
                          Clock::TimePoint until,
                          RequestContext& context);
  Task<> AwaitViewChange(std::chrono::milliseconds max_wait,
                         RequestContext& context);
  std::string ChooseService(const RouteRule& route);
  RetryBudget& BudgetOf(const ForwardMetadata& metadata);
  HttpResponse MakeResponse(ForwardResult result, const RoutedRequest& routed);
  static HttpResponse MakeUnroutedResponse(int status);

  const Dependencies m_dependencies;
  std::string m_origin_service;
  RetryBudgets m_budgets;
  std::mt19937_64 m_random;
  // Of the routes with several destinations.
  std::map<std::string, WeightedDestinations> m_destinations;
  std::set<std::shared_ptr<Waiter>> m_waiters;
  TargetNotices m_notices;
  WithdrawalSchedule m_withdrawals;
  // Set when this node stops.
  std::optional<Clock::TimePoint> m_answer_by;
  std::uint64_t m_withdrawn_count = 0;
};

}  // namespace citrongrade
