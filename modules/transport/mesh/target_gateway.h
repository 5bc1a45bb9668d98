#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/long_run_estimator.h"
#include "modules/coordination/load/target_admission.h"
#include "modules/coordination/mesh/crash_reporter.h"
#include "modules/coordination/mesh/heartbeat.h"
#include "modules/transport/async/task.h"
#include "modules/transport/mesh/forward_metadata.h"
#include "modules/transport/mesh/forward_result.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class AsyncConnectionPool;
class AsyncHttpConnection;
class PoisonDetector;
class RequestContext;
class WireProtocol;
class TargetController;
struct TargetLoss;
struct TargetResponseInfo;

// Passes requests to this node's own target: checks that the target may serve
// them, queues them for admission, forwards them, and classifies the responses.
//
// A request is sent to the target at most once, as the last step after the hold
// on its key has been checked again. A request that is reported as not run was
// either never written to the target, or the target itself said that it did not
// run.
//
// Runs on the event loop. TargetAdmission decides which requests wait;
// TargetController knows the target's state.
class TargetGateway {
 public:
  struct Counts {
    std::uint64_t offered = 0;
    // Written to the target.
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    // Answers that named another request than the one in progress.
    std::uint64_t ignored_answers = 0;
    // Answers that were given up, as they were too long or memory was out.
    std::uint64_t endless_answers = 0;
    // Rejected while they waited, because their sender withdrew them.
    std::uint64_t withdrawn = 0;
    // Rejected because runs of them crashed targets, here and elsewhere.
    std::uint64_t quarantined = 0;
    // Losses of the target with requests that ran on it.
    std::uint64_t crashes = 0;
  };

  // `reserves_slots_for_short`: long requests leave the target slots that short
  // ones need.
  TargetGateway(boost::asio::io_context& loop,
                const Clock& clock,
                const WireProtocol& protocol,
                TargetController& controller,
                AsyncConnectionPool& pool,
                bool reserves_slots_for_short);
  ~TargetGateway();

  Task<ForwardResult> Run(HttpRequest request,
                          ForwardMetadata metadata,
                          RequestContext& context);

  // Rejects those of the sender's requests that still wait for admission, as
  // not run. Returns their number.
  std::size_t Withdraw(std::uint64_t sender_id,
                       const std::set<std::string>& request_ids);
  // This node stops: no request can be answered after `time`. Requests that
  // can't be are rejected as soon as that is known.
  void LimitDeadlines(Clock::TimePoint time);
  // Must be called every 20 ms.
  void Tick();
  // Requests that the target may get while it is cold. Until this has been
  // called, a cold target gets none.
  void SetColdLimit(const TargetRateLimiter::ColdLimit& limit);
  // Requests per second that the target may get now; empty if there is no
  // limit.
  std::optional<double> rate_limit() const {
    return m_admission.rate_limiter().Rate();
  }
  // A process of the target is gone: the requests that it ran are suspected of
  // the crash.
  void OnTargetLost(const TargetLoss& loss);

  // Requests received for each slot since the last call.
  std::vector<Heartbeat::SlotRequestCount> TakeSlotRequestCounts();
  CrashReport MakeCrashReport() const { return m_crash_reporter.MakeReport(); }
  void OnCrashReportReply(const CrashReportReply& reply,
                          std::uint64_t leader_nonce);
  void MergeCrashSuspects(const std::vector<CrashSuspect>& suspects);
  // Why the request must not run: runs of it have crashed targets. Empty if it
  // may run.
  std::optional<ForwardResult> CheckQuarantine(const HttpRequest& request);
  const PoisonDetector& poison_detector() const { return *m_poison_detector; }
  std::uint32_t mean_service_time_us() const;
  // 95th percentile of the run times of the longest sharded route; 0 if
  // unknown.
  std::uint32_t long_run_us() const;
  std::size_t running() const { return m_admission.running(); }
  std::size_t waiting() const { return m_admission.waiting(); }
  std::size_t reserved_slots() const { return m_admission.reserved_slots(); }
  const Counts& counts() const { return m_counts; }

 private:
  struct WaitingRequest;
  class AdmissionGuard;
  struct RunningRequest {
    std::uint64_t fingerprint = 0;
    // Of the target's process that it was sent to.
    std::uint64_t incarnation_number = 0;
  };
  // A request that the target may have been running when its exchange ended
  // without an answer.
  struct UnansweredRequest {
    RunningRequest request;
    Clock::TimePoint when;
    // The connection broke; this node did not give the request up.
    bool is_broken = false;
  };

  // The same as Run(), apart from what other nodes are told of the target.
  Task<ForwardResult> RunAtTarget(HttpRequest request,
                                  const ForwardMetadata& metadata,
                                  RequestContext& context);
  // What the node that forwarded a request is told of the target; empty if
  // there is nothing to tell.
  std::optional<TargetNotice> MakeNotice() const;
  // Waits for a short time for a grant that has been sent to the target.
  Task<> AwaitGrant(const ForwardMetadata& metadata);
  // Time after which a moving key can be expected to be served again.
  std::chrono::milliseconds RetryAfterMove() const;
  // Refusal of a request whose key another target takes over.
  ForwardResult RefuseMovedKey() const;
  // Returns the reason why the request can't be sent to the target now; empty
  // if it can.
  std::optional<ForwardResult> CheckServable(
      const ForwardMetadata& metadata) const;
  // Time left of the target's hold on the request's key; empty if the request
  // has no key.
  std::optional<std::chrono::milliseconds> RemainingHold(
      const ForwardMetadata& metadata) const;
  Task<ForwardResult> AwaitAdmission(const ForwardMetadata& metadata,
                                     RequestTicket ticket,
                                     RequestContext& context);
  // Sets `sent_at` just before the request is written to the target.
  Task<ForwardResult> ForwardToTarget(HttpRequest request,
                                      const ForwardMetadata& metadata,
                                      Clock::TimePoint deadline,
                                      RequestTicket ticket,
                                      std::uint64_t fingerprint,
                                      std::optional<Clock::TimePoint>& sent_at,
                                      RequestContext& context);
  // Whether an answer is the one to the last request sent on the connection. It
  // isn't if it names another request.
  bool IsAnswerTo(const std::string& request_id,
                  const AsyncHttpConnection& connection,
                  const HttpResponse& answer) const;
  // Tells the admission what the controller knows of the target.
  void UpdateAdmission();
  // Refusal of a request for which there is no room in time.
  ForwardResult RefuseForLackOfRoom(const std::string& route) const;
  // `run_time`: how long the target ran the request.
  void OnRunEnded(const ForwardMetadata& metadata, Clock::Duration run_time);
  ForwardResult ClassifyResponse(HttpResponse response,
                                 const TargetResponseInfo& response_info);
  std::optional<ForwardResult> CheckQuarantine(std::uint64_t fingerprint);
  void LogQuarantined(
      const std::vector<RequestFingerprint>& fingerprints) const;
  void RecordUnanswered(const RunningRequest& request, bool is_broken);
  // Called when the connection of a running request breaks. Probes the target
  // at once: its process may have crashed because of this request, and other
  // callers should not have to wait until their own requests fail.
  void OnConnectionBroken(const RunningRequest& request);
  Task<> ProbeTarget();
  // Refuses the waiting requests whose keys have begun to move. They would take
  // their turn, and what the target's limit allows, from requests that it can
  // run.
  void RefuseMovedKeys();
  void ResumeWaiting();
  void CountResult(const ForwardResult& result);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  const WireProtocol& m_protocol;
  TargetController& m_controller;
  AsyncConnectionPool& m_pool;
  TargetAdmission m_admission;
  std::unique_ptr<PoisonDetector> m_poison_detector;
  CrashReporter m_crash_reporter;
  std::map<RequestTicket, std::shared_ptr<WaitingRequest>> m_waiting_requests;
  // Requests that have been sent to the target and not been answered.
  std::map<RequestTicket, RunningRequest> m_running_requests;
  std::vector<UnansweredRequest> m_unanswered_requests;
  bool m_is_probing = false;
  RequestTicket m_next_ticket{1};
  std::map<std::uint32_t, std::uint32_t> m_slot_request_counts;
  LongRunEstimator m_long_runs;
  bool m_has_measured_service_time = false;
  bool m_has_cold_limit = false;
  bool m_is_stopping = false;
  Counts m_counts;
};

}  // namespace citrongrade
