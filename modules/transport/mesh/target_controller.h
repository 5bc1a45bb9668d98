#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/target_condition.h"
#include "modules/coordination/mesh/departure_tracker.h"
#include "modules/coordination/mesh/heartbeat.h"
#include "modules/coordination/mesh/polling_hold_tracker.h"
#include "modules/coordination/mesh/push_hold_tracker.h"
#include "modules/coordination/mesh/target_loss_detector.h"
#include "modules/state/mesh/mesh_view.h"
#include "modules/transport/async/task.h"
#include "modules/transport/http_address.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"
#include "modules/transport/mesh/target_loss.h"
#include "modules/transport/mesh/target_report.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class AsyncConnectionPool;
class WireProtocol;

// Tracks the target beside this node: which process of it runs, whether it may
// get requests, and which keys it holds. Depending on the platform, sends it
// grants and releases as calls, or includes the granted ranges in the replies
// to its reports.
//
// The target's reports identify it and say whether it drains. A target that
// stops answering, or refuses connections, may still work and hold keys: one
// that leaves may close its listener first. It gets nothing more, and counts as
// gone when its holds have expired. Only where all its open connections have
// ended with the refusal, and for one that leaves some in the middle of an
// exchange, is its process known to be dead before that.
//
// Runs on the event loop. PushHoldTracker and PollingHoldTracker decide what to
// grant; TargetGateway sends the target its requests.
class TargetController {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // The target's state or holds changed; the leader should hear of it at
    // once.
    virtual void OnTargetChanged() = 0;
    // A process of the target ended, or counts as lost.
    virtual void OnTargetLost(const TargetLoss& loss) = 0;
  };

  struct Settings {
    HttpAddress address;
    // How long a draining target still gets requests, from the confirmation of
    // its drain.
    std::chrono::milliseconds drain_period{1500};
    // How long the target of an evacuated zone still gets requests, from when
    // this node learned of the evacuation. Its keys move meanwhile.
    std::chrono::milliseconds evacuation_period{2000};
    // A target without a sign of life for this long, and with several
    // unanswered calls, is treated as silent.
    std::chrono::milliseconds silence_timeout{4000};
    // The target takes grants from the replies to its reports, not as calls.
    bool grants_by_report = false;
    // Longest lease of a node: grants of an earlier process end within it.
    std::chrono::milliseconds max_lease{2000};
  };

  enum class ReportResult {
    kAccepted,
    // The report is from an earlier process of the target, or older than one
    // already processed.
    kOutdated,
  };

  TargetController(boost::asio::io_context& loop,
                   const Clock& clock,
                   const Settings& settings,
                   const WireProtocol& protocol,
                   AsyncConnectionPool& pool,
                   Listener& listener);
  ~TargetController();

  ReportResult OnReport(const TargetReport& report);
  // Asks the target's address whether anybody listens. Must be called when this
  // process starts: if nobody does, no grant of an earlier process is left.
  Task<> ProbeAtStart();
  // Returns the ranges that the target is to hold, for the reply to a report
  // that was accepted. Waits for a change, so that a range that is added or
  // removed need not wait for the next report. Empty: the reply carries no
  // ranges.
  Task<std::optional<PollingHoldTracker::GrantReply>> AwaitGrantReply(
      const TargetReport& report);
  // The target leaves without having reported that it drains.
  void OnLeave(const std::string& target_id);
  // Waits for a short time until it is stored that the target leaves. Returns
  // whether it is: only then may this be confirmed to the target, as it binds
  // each later process of this node.
  Task<bool> AwaitDepartureStored(std::string target_id);
  // What the leader says, or the stored record.
  void OnDepartures(const DepartureReply& reply);
  void OnDeparturesStored(const std::vector<DepartedTarget>& stored);
  // The target's address refuses connections.
  void OnRefused();
  // A request is on its way to the target, on an open connection, until the
  // object ends.
  class Exchange;
  Exchange BeginExchange();
  // A connection ended in the middle of an exchange, and not by a timeout.
  void OnExchangeBroken() { m_loss_detector.OnExchangeBroken(); }
  // Records whether the target answered a call.
  void OnCallEnded(bool was_answered);
  // What an answer of the target says of itself. `sent_at`: when the request
  // was sent that it answers. `incarnation_number`: as it was then.
  void OnSignals(const TargetSignals& signals,
                 TargetCondition::AnswerKind kind,
                 Clock::TimePoint sent_at,
                 std::uint64_t incarnation_number);
  // What another node has been told of the target. Ignored if it is of another
  // process of the target.
  void OnNotice(const TargetNotice& notice);
  // The target ran a request that was addressed to its present incarnation.
  void OnIncarnationConfirmed() { m_may_have_restarted = false; }

  // `as_of`: the leader knew all that this node had told it until then.
  void OnView(const MeshView& view,
              const std::string& own_address,
              Clock::TimePoint as_of);
  void SetLease(Clock::TimePoint until);
  // Upper bound of any lease of this node, including those of its earlier
  // processes. Must be set before a view that assigns keys is applied.
  void SetMaxLease(Clock::Duration max_lease) {
    m_holds.SetMaxLease(max_lease);
  }

  // Sends grants and releases that are due. Must be called about every 20 ms.
  void Tick();

  // Must be called about every 100 ms.
  void CloseIdleConnections();

  // Whether the target's availability zone is evacuated. Around the begin and
  // the end of an evacuation the target may be cold without having said so yet,
  // so it counts as cold for its whole cold start.
  void SetEvacuated(bool is_evacuated);
  // Cold start of a target of this service, from the operators' configuration.
  void SetColdStart(std::chrono::milliseconds duration) {
    m_cold_start = duration;
  }
  // The target is cold until this time, as far as this node knows.
  Clock::TimePoint cold_until() const {
    return std::max(m_warm_up_until, m_assumed_cold_until);
  }

  // Whether the target's own state allows requests now.
  bool IsServing() const;
  Clock::Duration RemainingHold(std::uint32_t slot) const {
    return m_holds.RemainingHold(slot);
  }
  bool IsAwaitingGrant(std::uint32_t slot) const {
    return m_holds.IsAwaitingGrant(slot);
  }
  bool IsBeingReleased(std::uint32_t slot) const {
    return m_holds.IsBeingReleased(slot);
  }
  bool IsAssigned(std::uint32_t slot) const { return m_holds.IsAssigned(slot); }
  const TargetIncarnation& incarnation() const { return m_incarnation; }
  // Changes whenever what was sent before no longer concerns the present
  // process of the target.
  std::uint64_t incarnation_number() const { return m_incarnation_number; }
  const TargetCondition& condition() const { return m_condition; }
  const std::string& service() const { return m_service; }
  std::uint32_t concurrency() const { return m_concurrency; }
  const HttpAddress& address() const { return m_settings.address; }
  std::size_t held_range_count() const { return m_holds.range_count(); }
  bool HasReturnedAllRanges() const { return m_holds.HasReturnedAllRanges(); }

  Heartbeat::Target MakeHeartbeatTarget();
  std::vector<Heartbeat::ReleasedRange> MakeHeartbeatReleases();
  DepartureReport MakeDepartureReport() const {
    return m_departures.MakeReport();
  }

 private:
  struct WaitingReport;

  enum class State { kUnknown, kServing, kDraining, kGone };

  struct CommandResult {
    // False: the call was for an earlier incarnation, so the result says
    // nothing of the present one.
    bool is_current = false;
    // False: nobody listened at the address, so the call has no effect.
    bool was_sent = true;
    std::optional<HttpResponse> response;
    // Why there is no response; empty if there is one.
    std::string failure;
    // The connection failed for another reason than the call's timeout.
    bool is_connection_broken = false;
  };

  // Whether a command may use a connection that has carried another command.
  // Answers to commands don't say which command they answer. A second answer to
  // a grant would end a release while requests still run on its keys.
  enum class ConnectionReuse { kAllowed, kForbidden };

  // Makes one call, on a connection that carries only grants and releases.
  Task<HttpResponse> CallTarget(HttpRequest command,
                                Clock::Duration timeout,
                                ConnectionReuse reuse,
                                std::uint64_t incarnation_number);
  // The same, and updates the target's state by the result.
  Task<CommandResult> SendCommand(HttpRequest command,
                                  Clock::Duration timeout,
                                  ConnectionReuse reuse,
                                  std::uint64_t incarnation_number);
  Task<> SendGrant(PushHoldTracker::Grant grant,
                   std::uint64_t incarnation_number);
  Task<> SendRelease(PushHoldTracker::Release release,
                     std::uint64_t incarnation_number);
  bool IsEvacuated() const;
  bool IsOutdated(const TargetReport& report) const;
  bool IsLaterIncarnation(const TargetReport& report) const;
  // Reports of a process that is known to have died are late ones.
  bool IsLateReportOfDeadProcess() const;
  // Leaving is final for a process, whichever of its reports says so: all that
  // say so are confirmed.
  void OnOutdatedDrain(const TargetIncarnation& incarnation);
  void BeginIncarnation(const TargetReport& report);
  // Drains the target if it has said that it leaves, to this process of the
  // node or to an earlier one. Returns whether it has.
  bool DrainIfDeparted();
  // `was_loaded`: whether departures were known before.
  void UpdateDeparted(bool was_loaded);
  void SetState(State state, const char* reason);
  // The target has said that it leaves. That is final for its process.
  void RecordDeparture(Clock::TimePoint confirmed_at);
  void BeginDrain(Clock::TimePoint confirmed_at, const char* reason);
  void ApplyReportedHolds(const TargetReport& report);
  bool HasGrantReply() const;
  void WakeWaitingReport();
  void CheckSilence();
  // Decides whether a target that refuses connections is gone.
  void ReviewRefusal();
  bool IsRefusing() const {
    return m_loss_detector.refusing_since().has_value();
  }
  TargetLossDetector::Connections CountConnections();
  // Its holds have ended, or with its process: they are given on.
  void DeclareGone(const char* reason);
  // `first_sign`: when this node could first know of it.
  void ReportLoss(Clock::TimePoint first_sign,
                  bool has_process_ended,
                  const char* reason);
  // Tries to connect to a target that refuses, until it listens or another one
  // has started.
  Task<> AwaitListener();
  // Tells the leader when the grants meant for earlier processes have ended.
  void UpdateEarlierGrants();
  // End of the time for which the target may be granted keys.
  Clock::TimePoint GrantableUntil() const;
  // Logs what has changed, and stops a target that has said that it leaves.
  void ApplyChanges(const TargetCondition::Changes& changes,
                    std::optional<double> previous_limit,
                    const char* source);
  void LogRateLimit(std::optional<double> previous, const char* source) const;
  void LogUnknownHeaders(const TargetSignals& signals);
  // A connection to the target broke, so the target may have restarted. A
  // restarted target holds nothing, and would accept keys under fencing tokens
  // that were granted to its earlier process. Grants wait until the target
  // reports, or until a request shows that it is still the same process.
  void SuspectRestart(const char* reason);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  const Settings m_settings;
  const WireProtocol& m_protocol;
  AsyncConnectionPool& m_pool;
  // Grants and releases use connections of their own. On shared connections, a
  // late second response to a request was taken for the response to a release,
  // and keys were given away while requests still ran on them.
  std::unique_ptr<AsyncConnectionPool> m_command_pool;
  Listener& m_listener;

  State m_state = State::kUnknown;
  TargetIncarnation m_incarnation;
  // Calls are tagged with it: the result of a call to an earlier incarnation
  // says nothing of the present one.
  std::uint64_t m_incarnation_number = 0;
  std::string m_service;
  std::uint32_t m_concurrency = 1;
  std::uint64_t m_sequence = 0;
  Clock::TimePoint m_warm_up_until;
  Clock::TimePoint m_assumed_cold_until;
  std::chrono::milliseconds m_cold_start{0};
  // Since when the target's zone has been evacuated, as this node knows it.
  std::optional<Clock::TimePoint> m_evacuated_since;
  Clock::TimePoint m_drain_confirmed_at;
  Clock::TimePoint m_last_contact;
  Clock::TimePoint m_last_report;
  DepartureTracker m_departures;
  // The present incarnation has been heard from its first reports on.
  bool m_was_heard_from_start = false;
  bool m_has_begun_to_drain = false;
  // Ids of earlier incarnations.
  std::vector<std::string> m_past_target_ids;
  unsigned m_unanswered_calls = 0;
  bool m_may_have_restarted = false;
  // When the present process was found dead; empty if it may live.
  std::optional<Clock::TimePoint> m_died_at;
  // When the present process came back after it had counted as gone. The leader
  // may have given its keys on before it heard of that, so older views don't
  // count.
  Clock::TimePoint m_back_since = Clock::TimePoint::min();
  // As the leader was told last.
  bool m_has_earlier_grants = false;
  TargetLossDetector m_loss_detector;
  bool m_is_awaiting_listener = false;
  std::size_t m_exchanges = 0;
  Clock::TimePoint m_lease_until;
  PushHoldTracker m_push_holds;
  PollingHoldTracker m_polled_holds;
  // The tracker of the two that the platform uses.
  TargetHoldTracker& m_holds;
  bool m_is_sharded = false;
  // The last report, while its reply waits for a change.
  std::shared_ptr<WaitingReport> m_waiting_report;
  std::string m_last_holds_problem;
  std::vector<SlotAssignment> m_assignments;
  TargetCondition m_condition;
  std::set<std::string> m_unknown_headers;
};

class TargetController::Exchange {
 public:
  explicit Exchange(TargetController& controller) : m_controller(controller) {
    ++m_controller.m_exchanges;
  }
  ~Exchange() { --m_controller.m_exchanges; }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

 private:
  TargetController& m_controller;
};

inline TargetController::Exchange TargetController::BeginExchange() {
  return Exchange(*this);
}

}  // namespace citrongrade
