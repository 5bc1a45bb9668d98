#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/target_admission.h"
#include "modules/coordination/mesh/heartbeat.h"
#include "modules/transport/async/task.h"
#include "modules/transport/mesh/forward_metadata.h"
#include "modules/transport/mesh/forward_result.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class AsyncConnectionPool;
class PoisonDetector;
class RequestContext;
class WireProtocol;
class TargetController;
struct TargetResponseInfo;

// Gives requests to this node's own target: checks that it may serve them, lets
// them wait their turn, passes them on, and judges the answer.
//
// A request is passed on at most once, and only as the very last step after its
// key's hold was checked again. What it says not to have run never was written
// to the target, or the target itself said so.
//
// On the event loop. Kin: TargetAdmission decides who waits; TargetKeeper knows
// the target.
class TargetGateway {
 public:
  struct Counts {
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
  };

  TargetGateway(boost::asio::io_context& loop,
                const Clock& clock,
                const WireProtocol& dialect,
                TargetController& keeper,
                AsyncConnectionPool& pool);
  ~TargetGateway();

  Task<ForwardResult> Run(HttpRequest request,
                          ForwardMetadata order,
                          RequestContext& context);

  // Every 20 ms.
  void Tick();
  // The target's process is gone: what ran on it is suspect.
  void OnTargetLost();

  // Requests that came for slots since the last call.
  std::vector<Heartbeat::SlotRequestCount> TakeSlotRequestCounts();
  std::vector<std::uint64_t> TakeCrashSuspects();
  void MergeCrashSuspects(const std::vector<std::uint64_t>& suspects);
  std::uint32_t mean_service_time_us() const;
  std::size_t running() const { return m_admission.running(); }
  std::size_t waiting() const { return m_admission.waiting(); }
  const Counts& counts() const { return m_counts; }

 private:
  struct WaitingRequest;
  class AdmissionGuard;
  struct BrokenConnection {
    std::uint64_t fingerprint = 0;
    Clock::TimePoint when;
  };

  // Waits a little for a grant that is on its way to the target.
  Task<> AwaitGrant(const ForwardMetadata& order);
  // When a key that moves can be expected to be served again.
  std::chrono::milliseconds RetryAfterMove() const;
  // Why it can't be passed on now; nothing when it can.
  std::optional<ForwardResult> CheckServable(
      const ForwardMetadata& order) const;
  // Of the target's hold on the order's key; nothing where it has none.
  std::optional<std::chrono::milliseconds> RemainingHold(
      const ForwardMetadata& order) const;
  Task<ForwardResult> AwaitAdmission(const ForwardMetadata& order,
                                     RequestTicket ticket,
                                     RequestContext& context);
  // Sets `passed` when it is about to write to the target.
  Task<ForwardResult> ForwardToTarget(HttpRequest request,
                                      const ForwardMetadata& order,
                                      Clock::TimePoint deadline,
                                      RequestTicket ticket,
                                      std::optional<Clock::TimePoint>& passed,
                                      RequestContext& context);
  ForwardResult ClassifyResponse(HttpResponse response,
                                 const TargetResponseInfo& facts);
  // A request's connection broke. If the target's process is gone, the request
  // may be why, and callers should not wait for others to find out.
  void OnConnectionBroken(std::uint64_t mark);
  Task<> ProbeTarget();
  void ResumeWaiting();
  void CountResult(const ForwardResult& result);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  const WireProtocol& m_dialect;
  TargetController& m_keeper;
  AsyncConnectionPool& m_pool;
  TargetAdmission m_admission;
  std::unique_ptr<PoisonDetector> m_poison_detector;
  std::map<RequestTicket, std::shared_ptr<WaitingRequest>> m_waiting_requests;
  // Marks of the requests that the target runs now.
  std::map<RequestTicket, std::uint64_t> m_running_fingerprints;
  std::vector<BrokenConnection> m_broken_connections;
  RequestTicket m_next_ticket{1};
  std::map<std::uint32_t, std::uint32_t> m_arrivals;
  bool m_has_measured_work = false;
  Counts m_counts;
};

}  // namespace citrongrade
