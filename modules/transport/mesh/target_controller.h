#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/heartbeat.h"
#include "modules/coordination/mesh/polling_hold_tracker.h"
#include "modules/coordination/mesh/push_hold_tracker.h"
#include "modules/state/mesh/mesh_view.h"
#include "modules/transport/async/task.h"
#include "modules/transport/http_address.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"
#include "modules/transport/mesh/target_report.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class AsyncConnectionPool;
class WireProtocol;

// The target beside this node: which life of it is there, whether it may get
// work, and which keys it holds. Sends it grants and releases, or states them
// in the answers to its reports, by its platform.
//
// The target's own reports say who it is and whether it leaves; that its
// process is gone shows by a refused connection. A target that only falls
// silent may still work and hold keys: it counts as gone when its holds have
// run out.
//
// On the event loop. Kin: HoldBook and ReportedHolds decide about grants;
// TargetGateway gives it requests.
class TargetController {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // The leader should hear of it now.
    virtual void OnTargetChanged() = 0;
    virtual void OnTargetLost() = 0;
  };

  struct Settings {
    HttpAddress address;
    // After it was confirmed that the target leaves, it gets no work from then.
    std::chrono::milliseconds drain_period{1500};
    // No sign of life for so long: it may be gone.
    std::chrono::milliseconds silence_timeout{4000};
    // It takes grants with the answers to its reports, and no orders.
    bool grants_by_report = false;
    // Longest lease of a node: what an earlier process granted ends with it.
    std::chrono::milliseconds max_lease{2000};
  };

  enum class ReportResult {
    kAccepted,
    // From an earlier life, or overtaken by a later one.
    kOutdated,
  };

  TargetController(boost::asio::io_context& loop,
                   const Clock& clock,
                   const Settings& settings,
                   const WireProtocol& dialect,
                   AsyncConnectionPool& pool,
                   Listener& listener);
  ~TargetController();

  ReportResult OnReport(const TargetReport& report);
  // What the target is to hold, for the answer to a report that was taken when
  // it had arrived. Waits for news, so that a range that comes or goes need not
  // wait for the next report. Nothing: the answer is to state nothing.
  Task<std::optional<PollingHoldTracker::GrantReply>> AwaitStatement(
      const TargetReport& report);
  // It leaves without having said that it drains.
  void OnLeave(const std::string& target_id);
  // Its address refuses connections: its process is gone.
  void OnRefused();
  // Whether a call to it was answered.
  void OnCallEnded(bool was_answered);
  // It ran a request that was addressed to its present life.
  void OnIncarnationConfirmed() { m_may_have_restarted = false; }

  void OnView(const MeshView& view, const std::string& own_address);
  void SetLease(Clock::TimePoint until);
  // Any lease of this node, of earlier processes as well, lasts at most so
  // long. To be told before a view that gives keys.
  void SetLongestLease(Clock::Duration longest) {
    m_holds.SetMaxLease(longest);
  }

  // Sends what is due; every 20 ms or so.
  void Tick();

  // Closes connections that were idle for too long; every 100 ms or so.
  void CloseIdleConnections();

  // It may be given work now, as far as its own state goes.
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
  const TargetIncarnation& incarnation() const { return m_incarnation; }
  const std::string& service() const { return m_service; }
  std::uint32_t concurrency() const { return m_concurrency; }
  const HttpAddress& address() const { return m_settings.address; }
  std::size_t held_range_count() const { return m_holds.range_count(); }
  bool HasNothingToGiveBack() const { return m_holds.HasReturnedAllRanges(); }

  Heartbeat::Target MakeHeartbeatTarget();
  std::vector<Heartbeat::ReleasedRange> MakeHeartbeatReleases();

 private:
  struct WaitingReport;

  enum class State { kUnknown, kServing, kDraining, kGone };

  struct CommandResult {
    // False: it was sent to an earlier life, or nobody listens any more, and
    // says nothing of this one.
    bool is_current = false;
    std::optional<HttpResponse> response;
    // Why there is no response.
    std::string failure;
    // The connection ended, other than by the order's time.
    bool is_connection_broken = false;
  };

  // One call on a connection that has carried nothing but orders.
  Task<HttpResponse> CallTarget(HttpRequest order, Clock::Duration timeout);
  // The same, with what its end says of the target taken note of.
  Task<CommandResult> SendCommand(HttpRequest order,
                                  Clock::Duration timeout,
                                  std::uint64_t life_number);
  Task<> SendGrant(PushHoldTracker::Grant grant, std::uint64_t life_number);
  Task<> SendRelease(PushHoldTracker::Release release,
                     std::uint64_t life_number);
  bool IsLaterIncarnation(const TargetReport& report) const;
  void BeginIncarnation(const TargetReport& report);
  void SetState(State state, const char* reason);
  void ApplyReportedHolds(const TargetReport& report);
  bool HasStatement() const;
  void WakeWaitingReport();
  void CheckSilence();
  // A connection to it broke: it may have been started anew, holding nothing,
  // and would take keys by tokens that its last life had. Grants wait until it
  // reports, or shows by its work that it is still the same.
  void SuspectRestart(const char* reason);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  const Settings m_settings;
  const WireProtocol& m_dialect;
  AsyncConnectionPool& m_pool;
  // Apart from those of requests: a late second answer to a request, taken for
  // the answer to a release, gave keys away on which work still ran.
  std::unique_ptr<AsyncConnectionPool> m_command_pool;
  Listener& m_listener;

  State m_state = State::kUnknown;
  TargetIncarnation m_incarnation;
  // A call that was sent to an earlier life says nothing of this one.
  std::uint64_t m_incarnation_number = 0;
  std::string m_service;
  std::uint32_t m_concurrency = 1;
  std::uint64_t m_sequence = 0;
  Clock::TimePoint m_cold_until;
  Clock::TimePoint m_drain_confirmed_at;
  Clock::TimePoint m_last_contact;
  Clock::TimePoint m_last_report;
  // Targets that left before this process had heard of them, and when.
  std::map<std::string, Clock::TimePoint> m_left_before_report;
  // Ids of lives before this one.
  std::vector<std::string> m_past_target_ids;
  unsigned m_unanswered_calls = 0;
  bool m_may_have_restarted = false;
  Clock::TimePoint m_lease_until;
  PushHoldTracker m_push_holds;
  PollingHoldTracker m_polled_holds;
  // The one of the two that the target's platform calls for.
  TargetHoldTracker& m_holds;
  bool m_is_sharded = false;
  // The answer to the last report, while it waits for news.
  std::shared_ptr<WaitingReport> m_waiting_report;
  std::string m_last_holds_problem;
  std::vector<SlotAssignment> m_assignments;
};

}  // namespace citrongrade
