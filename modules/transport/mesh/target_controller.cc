#include "modules/transport/mesh/target_controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>
#include <utility>

#include "modules/transport/async/async_connection_pool.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/mesh/wire_protocol.h"

namespace citrongrade {

namespace {

// A target answers a release only when the requests that ran on the keys have
// ended.
constexpr std::chrono::milliseconds kReleaseTimeout{1500};
// Longest idle time of a connection that is reused for grants and releases. If
// the target closes the connection meanwhile, nothing is lost: the call is sent
// again.
constexpr std::chrono::seconds kMaxCommandIdle{4};
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
// A target that leaves this many calls in a row unanswered, and does not report
// either, is treated as silent.
constexpr unsigned kMaxUnansweredCalls = 3;
// Detects a restart where targets don't state their start time: a target that
// starts numbers its reports from the beginning, and a target that is gone
// sends no more reports.
constexpr std::uint64_t kMaxStartupSequence = 3;
constexpr std::chrono::milliseconds kMinReportGap{3000};
// Earlier incarnations of which delayed reports may still arrive.
constexpr std::size_t kMaxPastTargetIds = 16;
// Longest delay of a report. Until then, reports of a process that has died are
// late ones and don't bring it back.
constexpr std::chrono::milliseconds kMaxReportDelay{20000};
constexpr std::chrono::milliseconds kListenerPollInterval{100};
// The same for a target that has refused for long: it may never come back.
constexpr std::chrono::milliseconds kSlowListenerPollInterval{1000};
constexpr std::chrono::milliseconds kLongRefusal{3000};
// Names that are logged once each.
constexpr std::size_t kMaxUnknownHeaders = 32;
// How long a reply to a report waits for a change. A target gives up on a reply
// after a second, and the rest is a margin for a busy host. A range that moves
// to a target that reports every 870 ms waits 42 ms on average; without this
// wait it went unserved for 435 ms.
constexpr std::chrono::milliseconds kGrantReplyWait{600};
// Shorter for a draining target, which should get its confirmation soon; its
// keys are planned to move within this time.
constexpr std::chrono::milliseconds kDrainingGrantReplyWait{250};
// A target gives up on a confirmation after a second. The rest is for the reply
// to its report, and for the way back.
constexpr std::chrono::milliseconds kDepartureWait{650};
constexpr std::chrono::milliseconds kDeparturePollInterval{10};

// An open connection shows when the target's process ends. So one is kept also
// where the target allows only a second: grants are renewed more often than
// that, and a command that meets a closed connection is sent again.
AsyncConnectionPool::Settings CommandPoolSettings() {
  AsyncConnectionPool::Settings settings;
  settings.keep_alive_margin = std::chrono::milliseconds(250);
  return settings;
}

// The target that a command is meant for may have ended before it was sent.
class CommandWithdrawnError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

const char* SourceName(TargetCondition::AnswerKind kind) {
  switch (kind) {
    case TargetCondition::AnswerKind::kRun:
      return "run";
    case TargetCondition::AnswerKind::kRefusal:
      return "refusal";
    case TargetCondition::AnswerKind::kCommand:
      return "command";
  }
  return "unknown";
}

}  // namespace

struct TargetController::WaitingReport {
  explicit WaitingReport(boost::asio::io_context& loop) : timer(loop) {}
  boost::asio::steady_timer timer;
};

TargetController::TargetController(boost::asio::io_context& loop,
                                   const Clock& clock,
                                   const Settings& settings,
                                   const WireProtocol& protocol,
                                   AsyncConnectionPool& pool,
                                   Listener& listener)
    : m_loop(loop),
      m_clock(clock),
      m_settings(settings),
      m_protocol(protocol),
      m_pool(pool),
      m_command_pool(
          std::make_unique<AsyncConnectionPool>(loop,
                                                clock,
                                                CommandPoolSettings())),
      m_listener(listener),
      m_departures(clock),
      m_loss_detector(clock),
      m_push_holds(clock),
      m_polled_holds(clock, settings.max_lease),
      m_holds(settings.grants_by_report
                  ? static_cast<TargetHoldTracker&>(m_polled_holds)
                  : static_cast<TargetHoldTracker&>(m_push_holds)),
      m_condition(clock) {}

TargetController::~TargetController() = default;

void TargetController::SetState(State state, const char* reason) {
  constexpr const char* kNames[] = {"unheard", "serving", "draining", "gone"};
  if (state == m_state)
    return;
  spdlog::info(
      "event=target-state from={} to={} target={} service={} reason={}",
      kNames[static_cast<int>(m_state)], kNames[static_cast<int>(state)],
      m_incarnation.id, m_service, reason);
  m_state = state;
  m_listener.OnTargetChanged();
}

void TargetController::RecordDeparture(Clock::TimePoint confirmed_at) {
  m_has_begun_to_drain = true;
  m_drain_confirmed_at = confirmed_at;
  if (m_incarnation.is_known())
    m_departures.Add(m_incarnation);
}

void TargetController::BeginDrain(Clock::TimePoint confirmed_at,
                                  const char* reason) {
  RecordDeparture(confirmed_at);
  SetState(State::kDraining, reason);
}

void TargetController::BeginIncarnation(const TargetReport& report) {
  if (m_incarnation.is_known() && m_incarnation.id != report.incarnation.id) {
    m_past_target_ids.push_back(m_incarnation.id);
    if (m_past_target_ids.size() > kMaxPastTargetIds)
      m_past_target_ids.erase(m_past_target_ids.begin());
  }
  m_incarnation = report.incarnation;
  ++m_incarnation_number;
  m_condition.BeginIncarnation(m_incarnation);
  m_service = report.service;
  m_holds.BeginIncarnation();
  m_assignments.clear();
  m_died_at.reset();
  m_back_since = Clock::TimePoint::min();
  m_sequence = 0;
  m_unanswered_calls = 0;
  m_has_begun_to_drain = false;
  m_was_heard_from_start = report.sequence <= kMaxStartupSequence;
  if (m_departures.Find(m_incarnation, m_was_heard_from_start) == nullptr)
    m_departures.Retract(m_incarnation.id);
  m_loss_detector.BeginIncarnation();
  m_pool.CloseIdle(m_settings.address);
  m_command_pool->CloseIdle(m_settings.address);
  spdlog::info("event=target-started target={} started_unix_ms={} service={}",
               m_incarnation.id, m_incarnation.started_unix_ms, m_service);
}

bool TargetController::IsLaterIncarnation(const TargetReport& report) const {
  // A delayed report may come from an earlier process. If it were accepted,
  // keys would be granted to a target that no longer exists.
  if (report.incarnation.started_unix_ms != m_incarnation.started_unix_ms)
    return report.incarnation.started_unix_ms > m_incarnation.started_unix_ms;
  if (std::find(m_past_target_ids.begin(), m_past_target_ids.end(),
                report.incarnation.id) != m_past_target_ids.end())
    return false;
  return report.sequence <= kMaxStartupSequence ||
         m_clock.Now() - m_last_report > kMinReportGap;
}

bool TargetController::IsOutdated(const TargetReport& report) const {
  if (report.incarnation == m_incarnation)
    return report.sequence <= m_sequence || IsLateReportOfDeadProcess();
  return m_incarnation.is_known() && !IsLaterIncarnation(report);
}

bool TargetController::IsLateReportOfDeadProcess() const {
  return m_died_at && m_clock.Now() - *m_died_at < kMaxReportDelay;
}

void TargetController::OnOutdatedDrain(const TargetIncarnation& incarnation) {
  if (incarnation != m_incarnation) {
    m_departures.Add(incarnation);
    m_listener.OnTargetChanged();
  } else {
    OnLeave(incarnation.id);
  }
}

TargetController::ReportResult TargetController::OnReport(
    const TargetReport& report) {
  const Clock::TimePoint now = m_clock.Now();
  if (IsOutdated(report)) {
    if (report.is_draining)
      OnOutdatedDrain(report.incarnation);
    return ReportResult::kOutdated;
  }
  const bool is_first_incarnation = !m_incarnation.is_known();
  if (report.incarnation != m_incarnation) {
    // A process that is back at once may never have refused a connection.
    if (m_incarnation.is_known() && m_state != State::kGone)
      ReportLoss(m_last_report, true, "new-process");
    BeginIncarnation(report);
    m_state = State::kUnknown;
  }
  m_may_have_restarted = false;
  m_sequence = report.sequence;
  m_concurrency = report.concurrency;
  m_warm_up_until = now + report.warm_up_left;
  m_last_contact = now;
  m_last_report = now;
  m_unanswered_calls = 0;
  ApplyReportedHolds(report);
  const bool has_been_given_up = m_state == State::kGone && IsRefusing();
  if (m_state == State::kDraining || has_been_given_up)
    return ReportResult::kAccepted;
  if (m_state == State::kGone)
    m_back_since = now;
  m_died_at.reset();
  if (DrainIfDeparted())
    return ReportResult::kAccepted;
  if (report.is_draining) {
    // An earlier process of this node may have confirmed it any time ago.
    BeginDrain(is_first_incarnation ? now - m_settings.drain_period : now,
               "reported");
  } else {
    SetState(State::kServing, "reported");
  }
  return ReportResult::kAccepted;
}

Task<> TargetController::ProbeAtStart() {
  try {
    auto connection = co_await m_command_pool->OpenNew(m_settings.address);
    m_command_pool->Release(m_settings.address, std::move(connection));
  } catch (const ConnectRefusedError&) {
    if (!m_incarnation.is_known())
      m_holds.DiscountEarlierProcess();
  } catch (const ConnectError&) {
    // Whether anybody is there isn't known.
  }
}

void TargetController::ApplyReportedHolds(const TargetReport& report) {
  if (report.holds_problem != m_last_holds_problem) {
    m_last_holds_problem = report.holds_problem;
    if (!m_last_holds_problem.empty()) {
      spdlog::warn("event=target-holds-unreadable target={} reason=\"{}\"",
                   m_incarnation.id, m_last_holds_problem);
    }
  }
  if (!m_settings.grants_by_report || !report.holds)
    return;
  m_polled_holds.OnReport(*report.holds);
  if (!m_polled_holds.ReturnedRanges().empty())
    m_listener.OnTargetChanged();
}

bool TargetController::HasGrantReply() const {
  return m_polled_holds.HasPendingChanges() && m_clock.Now() < GrantableUntil();
}

void TargetController::WakeWaitingReport() {
  if (m_waiting_report && HasGrantReply())
    m_waiting_report->timer.cancel();
}

Task<std::optional<PollingHoldTracker::GrantReply>>
TargetController::AwaitGrantReply(const TargetReport& report) {
  if (!m_settings.grants_by_report || !m_is_sharded || !report.holds)
    co_return std::nullopt;
  const Clock::TimePoint reported_at = m_last_report;
  const std::uint64_t incarnation_number = m_incarnation_number;
  if (!HasGrantReply()) {
    auto waiting_report = std::make_shared<WaitingReport>(m_loop);
    waiting_report->timer.expires_after(
        report.is_draining ? kDrainingGrantReplyWait : kGrantReplyWait);
    m_waiting_report = waiting_report;
    boost::system::error_code ignored;
    co_await waiting_report->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    if (m_waiting_report == waiting_report)
      m_waiting_report.reset();
  }
  // A newer report has arrived meanwhile, so the target no longer waits for
  // this reply.
  if (incarnation_number != m_incarnation_number ||
      report.sequence != m_sequence)
    co_return std::nullopt;
  co_return m_polled_holds.MakeGrantReply(reported_at, GrantableUntil());
}

bool TargetController::DrainIfDeparted() {
  if (!m_has_begun_to_drain) {
    const DepartureTracker::Departure* departure =
        m_departures.Find(m_incarnation, m_was_heard_from_start);
    if (departure == nullptr)
      return false;
    m_has_begun_to_drain = true;
    // An earlier process of this node may have confirmed it any time ago.
    m_drain_confirmed_at =
        departure->heard_at.value_or(m_clock.Now() - m_settings.drain_period);
  }
  SetState(State::kDraining, "has-said-that-it-leaves");
  return true;
}

void TargetController::OnLeave(const std::string& target_id) {
  // The answer binds also for a target that this process has not heard of, or
  // has declared gone: a report that is still on its way must not bring it
  // requests.
  if (target_id != m_incarnation.id) {
    m_departures.Add({target_id, 0});
    m_listener.OnTargetChanged();
    return;
  }
  if (m_state == State::kGone) {
    RecordDeparture(m_clock.Now());
    m_listener.OnTargetChanged();
  } else if (m_state != State::kDraining) {
    BeginDrain(m_clock.Now(), "left");
  }
}

Task<bool> TargetController::AwaitDepartureStored(std::string target_id) {
  const Clock::TimePoint give_up_at = m_clock.Now() + kDepartureWait;
  boost::asio::steady_timer timer(m_loop);
  while (!m_departures.IsStored(target_id)) {
    if (m_clock.Now() >= give_up_at) {
      spdlog::warn("event=departure-not-stored target={}", target_id);
      co_return false;
    }
    timer.expires_after(kDeparturePollInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  co_return true;
}

void TargetController::OnDepartures(const DepartureReply& reply) {
  const bool was_loaded = m_departures.is_loaded();
  m_departures.OnReply(reply);
  UpdateDeparted(was_loaded);
}

void TargetController::OnDeparturesStored(
    const std::vector<DepartedTarget>& stored) {
  const bool was_loaded = m_departures.is_loaded();
  m_departures.OnStored(stored);
  UpdateDeparted(was_loaded);
}

void TargetController::UpdateDeparted(bool was_loaded) {
  if (m_state == State::kServing && !DrainIfDeparted())
    m_departures.Retract(m_incarnation.id);
  // It was reported as unheard of until now.
  if (!was_loaded && m_state != State::kUnknown)
    m_listener.OnTargetChanged();
}

void TargetController::OnRefused() {
  if (m_state == State::kUnknown || m_state == State::kGone ||
      !m_loss_detector.OnRefused())
    return;
  spdlog::info("event=target-refuses target={} service={} exchanges={}",
               m_incarnation.id, m_service, m_exchanges);
  ReviewRefusal();
  if (IsRefusing() && !m_is_awaiting_listener)
    boost::asio::co_spawn(m_loop, AwaitListener(), boost::asio::detached);
}

TargetLossDetector::Connections TargetController::CountConnections() {
  const bool has_request_connection_ended =
      m_pool.DropClosed(m_settings.address);
  const bool has_command_connection_ended =
      m_command_pool->DropClosed(m_settings.address);
  if (has_request_connection_ended || has_command_connection_ended)
    m_loss_detector.OnConnectionEnded();
  TargetLossDetector::Connections open;
  open.exchanges = m_exchanges;
  open.has_idle = m_pool.HasIdle(m_settings.address) ||
                  m_command_pool->HasIdle(m_settings.address);
  return open;
}

void TargetController::ReviewRefusal() {
  if (!IsRefusing() || m_state == State::kGone)
    return;
  const TargetLossDetector::Connections open = CountConnections();
  const Clock::TimePoint refusing_since = *m_loss_detector.refusing_since();
  switch (m_loss_detector.Review(open, m_state == State::kDraining,
                                 m_holds.HeldUntil())) {
    case TargetLossDetector::Verdict::kNotLost:
      break;
    case TargetLossDetector::Verdict::kProcessDied:
      m_loss_detector.EndRefusal();
      ReportLoss(refusing_since, true, "process-died");
      DeclareGone("process-died");
      m_died_at = m_clock.Now();
      break;
    case TargetLossDetector::Verdict::kHoldsExpired:
      ReportLoss(refusing_since, true, "refuses-and-holds-nothing");
      DeclareGone("refuses-and-holds-nothing");
      break;
  }
}

void TargetController::ReportLoss(Clock::TimePoint first_sign,
                                  bool has_process_ended,
                                  const char* reason) {
  TargetLoss loss;
  loss.target_id = m_incarnation.id;
  loss.incarnation_number = m_incarnation_number;
  loss.first_sign = first_sign;
  loss.is_unexpected_end = has_process_ended && m_state == State::kServing;
  loss.reason = reason;
  m_listener.OnTargetLost(loss);
}

void TargetController::DeclareGone(const char* reason) {
  m_holds.EndAll();
  m_assignments.clear();
  ++m_incarnation_number;
  m_pool.CloseIdle(m_settings.address);
  m_command_pool->CloseIdle(m_settings.address);
  SetState(State::kGone, reason);
}

Task<> TargetController::AwaitListener() {
  m_is_awaiting_listener = true;
  boost::asio::steady_timer timer(m_loop);
  while (const auto refusing_since = m_loss_detector.refusing_since()) {
    const Clock::Duration refusing_for = m_clock.Now() - *refusing_since;
    timer.expires_after(refusing_for < kLongRefusal
                            ? kListenerPollInterval
                            : kSlowListenerPollInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
    const std::uint64_t incarnation_number = m_incarnation_number;
    try {
      auto connection = co_await m_command_pool->Acquire(m_settings.address,
                                                         Clock::Duration(0));
      m_command_pool->Release(m_settings.address, std::move(connection));
    } catch (const ConnectError&) {
      continue;
    }
    if (incarnation_number != m_incarnation_number)
      continue;
    // Another process may listen now, which would take grants under fencing
    // tokens of the earlier one.
    SuspectRestart("the target refused connections");
    m_loss_detector.EndRefusal();
    spdlog::info("event=target-listens target={} service={}", m_incarnation.id,
                 m_service);
  }
  m_is_awaiting_listener = false;
}

void TargetController::OnCallEnded(bool was_answered) {
  if (was_answered) {
    m_unanswered_calls = 0;
    m_last_contact = m_clock.Now();
    return;
  }
  ++m_unanswered_calls;
}

void TargetController::LogRateLimit(std::optional<double> previous,
                                    const char* source) const {
  const auto text = [](std::optional<double> limit) {
    return limit ? fmt::format("{}", *limit) : std::string("none");
  };
  spdlog::info(
      "event=target-limit target={} service={} requests_per_second={} "
      "previous={} source={}",
      m_incarnation.id, m_service, text(m_condition.rate_limit()),
      text(previous), source);
}

void TargetController::ApplyChanges(const TargetCondition::Changes& changes,
                                    std::optional<double> previous_limit,
                                    const char* source) {
  if (changes.is_rate_limit_changed)
    LogRateLimit(previous_limit, source);
  if (!changes.is_leaving_new)
    return;
  spdlog::info("event=target-leaving target={} service={} source={}",
               m_incarnation.id, m_service, source);
  if (m_state != State::kServing && m_state != State::kUnknown)
    return;
  BeginDrain(*m_condition.leaving_since(), "said-that-it-leaves");
}

void TargetController::OnNotice(const TargetNotice& notice) {
  const std::optional<double> previous = m_condition.rate_limit();
  ApplyChanges(m_condition.OnNotice(notice), previous, "peer");
}

void TargetController::LogUnknownHeaders(const TargetSignals& signals) {
  for (const std::string& name : signals.unknown_headers) {
    if (m_unknown_headers.size() >= kMaxUnknownHeaders ||
        !m_unknown_headers.insert(name).second)
      continue;
    spdlog::warn("event=target-header-unknown target={} service={} header={}",
                 m_incarnation.id, m_service, name);
  }
}

void TargetController::OnSignals(const TargetSignals& signals,
                                 TargetCondition::AnswerKind kind,
                                 Clock::TimePoint sent_at,
                                 std::uint64_t incarnation_number) {
  if (incarnation_number != m_incarnation_number)
    return;
  const std::optional<double> previous = m_condition.rate_limit();
  const TargetCondition::Changes changes =
      m_condition.OnAnswer(signals, kind, sent_at);
  LogUnknownHeaders(signals);
  if (changes.is_malformed_new) {
    spdlog::warn("event=target-limit-malformed target={} service={} value={}",
                 m_incarnation.id, m_service, signals.malformed_rate_limit);
  }
  if (changes.is_omission_new) {
    spdlog::info(
        "event=target-limit-omitted target={} service={} source={} "
        "reason=\"only the answer to a run ends the limit\"",
        m_incarnation.id, m_service, SourceName(kind));
  }
  ApplyChanges(changes, previous, SourceName(kind));
}

void TargetController::CheckSilence() {
  const Clock::TimePoint now = m_clock.Now();
  const bool is_silent = m_unanswered_calls >= kMaxUnansweredCalls &&
                         now - m_last_contact > m_settings.silence_timeout;
  if (!is_silent || m_state != State::kServing)
    return;
  if (now <= m_holds.HeldUntil()) {
    // Grants no further holds; the present ones expire.
    m_lease_until = Clock::TimePoint::min();
    return;
  }
  ReportLoss(m_last_contact, false, "silent");
  DeclareGone("silent");
}

void TargetController::OnView(const MeshView& view,
                              const std::string& own_address,
                              Clock::TimePoint as_of) {
  if (as_of <= m_back_since)
    return;
  std::vector<SlotAssignment> assignments;
  const KeyTable* table = view.FindTable(m_service);
  m_is_sharded = table != nullptr;
  if (table != nullptr &&
      (m_state == State::kServing || m_state == State::kDraining)) {
    for (const SlotAssignment& assignment : table->assignments()) {
      if (assignment.owner == own_address &&
          assignment.incarnation == m_incarnation)
        assignments.push_back(assignment);
    }
  }
  if (assignments == m_assignments)
    return;
  m_assignments = std::move(assignments);
  m_holds.SetAssignments(m_assignments);
  Tick();
  WakeWaitingReport();
}

void TargetController::SetLease(Clock::TimePoint until) {
  m_lease_until = until;
  WakeWaitingReport();
}

Clock::TimePoint TargetController::GrantableUntil() const {
  // What a target that refuses holds expires. A release may still reach it, on
  // an open connection or in the reply to a report.
  return IsRefusing() ? Clock::TimePoint::min() : m_lease_until;
}

void TargetController::Tick() {
  CheckSilence();
  ReviewRefusal();
  UpdateEarlierGrants();
  if (m_state != State::kServing && m_state != State::kDraining)
    return;
  if (m_settings.grants_by_report)
    return;
  for (PushHoldTracker::Grant& grant :
       m_push_holds.DueGrants(GrantableUntil())) {
    boost::asio::co_spawn(m_loop,
                          SendGrant(std::move(grant), m_incarnation_number),
                          boost::asio::detached);
  }
  for (const PushHoldTracker::Release& release : m_push_holds.DueReleases()) {
    boost::asio::co_spawn(m_loop, SendRelease(release, m_incarnation_number),
                          boost::asio::detached);
  }
}

void TargetController::UpdateEarlierGrants() {
  const bool had_earlier_grants =
      std::exchange(m_has_earlier_grants, m_holds.HasEarlierGrants());
  if (!had_earlier_grants || m_has_earlier_grants)
    return;
  spdlog::info("event=target-earlier-grants-ended target={} service={}",
               m_incarnation.id, m_service);
  m_listener.OnTargetChanged();
}

void TargetController::SuspectRestart(const char* reason) {
  if (!m_may_have_restarted)
    spdlog::info("event=target-doubted target={} reason=\"{}\"",
                 m_incarnation.id, reason);
  m_may_have_restarted = true;
}

Task<HttpResponse> TargetController::CallTarget(
    HttpRequest command,
    Clock::Duration timeout,
    ConnectionReuse reuse,
    std::uint64_t incarnation_number) {
  const Clock::TimePoint started = m_clock.Now();
  std::unique_ptr<AsyncHttpConnection> connection;
  if (reuse == ConnectionReuse::kAllowed) {
    connection =
        co_await m_command_pool->Acquire(m_settings.address, kMaxCommandIdle);
  } else {
    connection = co_await m_command_pool->OpenNew(m_settings.address);
  }
  // While it connected, the process that the command is meant for may have been
  // replaced by the one that accepted the connection.
  if (incarnation_number != m_incarnation_number || IsRefusing())
    throw CommandWithdrawnError(m_settings.address.ToString());
  const Clock::Duration left = timeout - (m_clock.Now() - started);
  AsyncHttpConnection::IsMatchingResponse is_answer =
      [this](const HttpResponse& response) {
        return m_protocol.IsCommandResponse(response);
      };
  const Clock::TimePoint sent_at = m_clock.Now();
  const Exchange exchange(*this);
  HttpResponse response =
      co_await connection->Call(std::move(command), left, std::move(is_answer));
  OnSignals(m_protocol.ReadTargetSignals(response),
            TargetCondition::AnswerKind::kCommand, sent_at, incarnation_number);
  if (reuse == ConnectionReuse::kAllowed)
    m_command_pool->Release(m_settings.address, std::move(connection));
  co_return response;
}

Task<TargetController::CommandResult> TargetController::SendCommand(
    HttpRequest command,
    Clock::Duration timeout,
    ConnectionReuse reuse,
    std::uint64_t incarnation_number) {
  CommandResult result;
  try {
    result.response = co_await CallTarget(std::move(command), timeout, reuse,
                                          incarnation_number);
  } catch (const CommandWithdrawnError&) {
    result.is_current = incarnation_number == m_incarnation_number;
    result.was_sent = false;
    co_return result;
  } catch (const ConnectRefusedError&) {
    if (incarnation_number == m_incarnation_number)
      OnRefused();
    // OnRefused() may have ended the incarnation.
    result.is_current = incarnation_number == m_incarnation_number;
    result.was_sent = false;
    co_return result;
  } catch (const ResponseTimeoutError& error) {
    result.failure = error.what();
  } catch (const HttpError& error) {
    result.failure = error.what();
    result.is_connection_broken = true;
    // It may have been idle, so this is no broken exchange.
    m_loss_detector.OnConnectionEnded();
  }
  result.is_current = incarnation_number == m_incarnation_number;
  if (result.is_current)
    OnCallEnded(result.response.has_value());
  co_return result;
}

Task<> TargetController::SendGrant(PushHoldTracker::Grant grant,
                                   std::uint64_t incarnation_number) {
  const std::uint64_t id = grant.id;
  if (incarnation_number != m_incarnation_number)
    co_return;
  if (m_command_pool->DropClosed(m_settings.address))
    SuspectRestart("the target closed a connection");
  if (m_may_have_restarted) {
    m_push_holds.OnGrantNotSent(id);
    co_return;
  }
  HttpRequest command = m_protocol.MakeGrantRequest(grant, m_incarnation.id);
  const CommandResult result =
      co_await SendCommand(std::move(command), PushHoldTracker::kCallTimeout,
                           ConnectionReuse::kAllowed, incarnation_number);
  if (!result.is_current)
    co_return;
  if (!result.was_sent) {
    m_push_holds.OnGrantNotSent(id);
    co_return;
  }
  if (!result.response) {
    spdlog::debug("event=grant-unanswered first={} last={} reason=\"{}\"",
                  grant.range.first, grant.range.last, result.failure);
    m_push_holds.OnGrantUnanswered(id);
    if (result.is_connection_broken)
      SuspectRestart(result.failure.c_str());
    co_return;
  }
  const int status = result.response->head.status;
  if (status == kOk) {
    m_push_holds.OnGranted(id);
  } else if (status == kMisdirected) {
    m_push_holds.OnGrantNotSent(id);
    SuspectRestart("another target refused a grant");
  } else if (status == kConflict) {
    spdlog::warn("event=grant-refused first={} last={} fence={}",
                 grant.range.first, grant.range.last, grant.fence);
    m_push_holds.OnGrantRefused(id);
    m_listener.OnTargetChanged();
  } else {
    spdlog::warn("event=grant-failed first={} last={} status={}",
                 grant.range.first, grant.range.last, status);
    m_push_holds.OnGrantUnanswered(id);
  }
}

Task<> TargetController::SendRelease(PushHoldTracker::Release release,
                                     std::uint64_t incarnation_number) {
  HttpRequest command = m_protocol.MakeReleaseRequest(release);
  const CommandResult result =
      co_await SendCommand(std::move(command), kReleaseTimeout,
                           ConnectionReuse::kForbidden, incarnation_number);
  // An answer to a release for an earlier process may come from that one.
  if (!result.is_current || !result.was_sent) {
    m_push_holds.OnReleaseUnanswered(release.id);
    co_return;
  }
  if (!result.response) {
    spdlog::log(release.is_retry ? spdlog::level::debug : spdlog::level::info,
                "event=release-unanswered first={} last={} reason=\"{}\"",
                release.range.first, release.range.last, result.failure);
    m_push_holds.OnReleaseUnanswered(release.id);
    co_return;
  }
  if (result.response->head.status == kOk) {
    m_push_holds.OnReleased(release.id,
                            m_protocol.ReadHandover(*result.response));
    m_listener.OnTargetChanged();
  } else {
    spdlog::warn("event=release-failed first={} last={} status={}",
                 release.range.first, release.range.last,
                 result.response->head.status);
    m_push_holds.OnReleaseUnanswered(release.id);
  }
}

void TargetController::CloseIdleConnections() {
  m_command_pool->CloseExpired();
}

void TargetController::SetEvacuated(bool is_evacuated) {
  if (is_evacuated == m_evacuated_since.has_value())
    return;
  const Clock::TimePoint now = m_clock.Now();
  m_assumed_cold_until = now + m_cold_start;
  if (is_evacuated)
    m_evacuated_since = now;
  else
    m_evacuated_since.reset();
  spdlog::info("event=target-evacuation target={} service={} is_evacuated={}",
               m_incarnation.id, m_service, is_evacuated);
}

bool TargetController::IsEvacuated() const {
  return m_evacuated_since &&
         m_clock.Now() - *m_evacuated_since >= m_settings.evacuation_period;
}

bool TargetController::IsServing() const {
  if (IsEvacuated() || IsRefusing() || !m_departures.is_loaded())
    return false;
  if (m_state == State::kServing)
    return true;
  return m_state == State::kDraining &&
         m_clock.Now() - m_drain_confirmed_at < m_settings.drain_period;
}

Heartbeat::Target TargetController::MakeHeartbeatTarget() {
  Heartbeat::Target target;
  target.incarnation = m_incarnation;
  target.service = m_service;
  target.concurrency = m_concurrency;
  m_has_earlier_grants = m_holds.HasEarlierGrants();
  target.has_earlier_grants = m_has_earlier_grants;
  const auto warm_up_left = std::chrono::ceil<std::chrono::milliseconds>(
      cold_until() - m_clock.Now());
  target.warm_up_left_ms = static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, warm_up_left.count()));
  // An earlier process of this node may have confirmed that it leaves.
  const bool is_known = m_departures.is_loaded();
  switch (is_known ? m_state : State::kUnknown) {
    case State::kUnknown:
      target.state = Heartbeat::TargetState::kUnknown;
      break;
    case State::kServing:
      target.state = Heartbeat::TargetState::kServing;
      break;
    case State::kDraining:
      target.state = Heartbeat::TargetState::kDraining;
      break;
    case State::kGone:
      target.state = Heartbeat::TargetState::kGone;
      break;
  }
  return target;
}

std::vector<Heartbeat::ReleasedRange>
TargetController::MakeHeartbeatReleases() {
  std::vector<Heartbeat::ReleasedRange> released;
  // The state says so of all ranges.
  if (m_state == State::kGone)
    return released;
  for (const TargetHoldTracker::ReturnedRange& range : m_holds.ReturnedRanges())
    released.push_back({m_service, range.range, range.fence, range.handover});
  return released;
}

}  // namespace citrongrade
