#include "modules/transport/mesh/target_gateway.h"

#define XXH_INLINE_ALL
#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

#include "modules/coordination/load/poison_detector.h"
#include "modules/state/mesh/key_slot.h"
#include "modules/transport/async/async_connection_pool.h"
#include "modules/transport/async/request_context.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/mesh/hop_by_hop_headers.h"
#include "modules/transport/mesh/target_controller.h"
#include "modules/transport/mesh/target_loss.h"
#include "modules/transport/mesh/wire_protocol.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// The target may close a connection that has been idle for longer at the moment
// that a request is sent on it. Nobody could then tell whether the request ran.
constexpr milliseconds kMaxIdleNonIdempotent{900};
constexpr milliseconds kMaxIdleIdempotent{4000};
// Time reserved for sending the result to the node that received the request.
constexpr milliseconds kReplyAllowance{5};
// A request whose exchange ended without an answer within this time before the
// first sign of a crash may have caused it.
constexpr milliseconds kCrashWindow{1000};
// For how long such requests are remembered. A target that refuses connections
// may be known to be lost only when its holds expire.
constexpr milliseconds kUnansweredRetention{10000};
// Bounds them where a target answers nothing.
constexpr std::size_t kMaxUnanswered = 1024;
// A process that dies closes its sockets one after the other: a connection may
// still be accepted, or be reset, before one is refused. A target that leaves
// gets no more requests that would meet the refusal, and its keys then waited
// 2.8 s for their holds to expire.
constexpr int kProbesAfterBreak = 5;
constexpr milliseconds kProbeInterval{40};
// A target confirms a grant within a few milliseconds. A grant without an
// answer is sent again after PushHoldTracker::kCallTimeout.
constexpr milliseconds kGrantWaitTimeout{150};
constexpr milliseconds kGrantPollInterval{8};
constexpr milliseconds kRetryAfterMove{60};
// A hold that is renewed in time always has at least this much left. With less
// left, a request that usually takes longer than the remaining hold is not
// started: the target would end it as failed.
constexpr milliseconds kMinRenewedHold{600};
constexpr milliseconds kRetryAfterTargetLoss{300};
constexpr milliseconds kRetryAfterRefusal{100};
constexpr milliseconds kRetryAfterWithdrawal{300};
constexpr int kServerError = 500;

std::uint64_t ComputeFingerprint(const HttpRequest& request) {
  std::uint64_t fingerprint =
      XXH3_64bits(request.target.data(), request.target.size());
  fingerprint = XXH3_64bits_withSeed(request.method.data(),
                                     request.method.size(), fingerprint);
  return XXH3_64bits_withSeed(request.body.data(), request.body.size(),
                              fingerprint);
}

}  // namespace

// A request that waits for admission.
struct TargetGateway::WaitingRequest {
  WaitingRequest(boost::asio::io_context& loop, const ForwardMetadata& metadata)
      : wakeup(loop),
        slot(metadata.key ? std::optional(SlotOfKey(*metadata.key))
                          : std::nullopt),
        sender_id(metadata.sender_id),
        request_id(metadata.request_id) {}

  boost::asio::steady_timer wakeup;
  const std::optional<std::uint32_t> slot;
  const std::uint64_t sender_id;
  const std::string request_id;
  std::optional<TargetAdmission::Verdict> verdict;
  // Why it waits no longer, if that isn't for the admission to say.
  std::optional<ForwardResult> refusal;
};

// Frees the request's place at the target when the request ends, on every path.
class TargetGateway::AdmissionGuard {
 public:
  AdmissionGuard(TargetGateway& gateway, RequestTicket ticket)
      : m_gateway(gateway), m_ticket(ticket) {}
  ~AdmissionGuard() {
    m_gateway.m_running_requests.erase(m_ticket);
    m_gateway.m_admission.OnFinished(m_ticket, m_work);
    m_gateway.ResumeWaiting();
  }
  AdmissionGuard(const AdmissionGuard&) = delete;
  AdmissionGuard& operator=(const AdmissionGuard&) = delete;

  void SetServiceTime(Clock::Duration work) { m_work = work; }

 private:
  TargetGateway& m_gateway;
  const RequestTicket m_ticket;
  std::optional<Clock::Duration> m_work;
};

TargetGateway::TargetGateway(boost::asio::io_context& loop,
                             const Clock& clock,
                             const WireProtocol& protocol,
                             TargetController& controller,
                             AsyncConnectionPool& pool,
                             bool reserves_slots_for_short)
    : m_loop(loop),
      m_clock(clock),
      m_protocol(protocol),
      m_controller(controller),
      m_pool(pool),
      m_admission(clock,
                  {.reserves_slots_for_short = reserves_slots_for_short}),
      m_poison_detector(
          std::make_unique<PoisonDetector>(clock,
                                           PoisonDetector::Parameters())),
      m_crash_reporter(*m_poison_detector),
      m_long_runs(clock) {}

TargetGateway::~TargetGateway() = default;

milliseconds TargetGateway::RetryAfterMove() const {
  // Requests that run on the key have to end first.
  return std::max(kRetryAfterMove, std::chrono::ceil<milliseconds>(
                                       m_admission.mean_service_time()));
}

ForwardResult TargetGateway::RefuseMovedKey() const {
  return ForwardResult::NotRun(RequestErrorCode::kLeaseLost,
                               "the key moves to another target",
                               RetryAfterMove());
}

std::optional<ForwardResult> TargetGateway::CheckServable(
    const ForwardMetadata& metadata) const {
  if (m_controller.service() != metadata.service) {
    return ForwardResult::NotRun(RequestErrorCode::kNoOwner,
                                 "this node's target is of another service",
                                 kRetryAfterMove);
  }
  if (!m_controller.IsServing()) {
    return ForwardResult::NotRun(RequestErrorCode::kTargetUnavailable,
                                 "the target is gone or leaves",
                                 kRetryAfterTargetLoss);
  }
  // A node that has just started may be sent requests before it has its
  // configuration.
  if (!m_has_cold_limit && m_clock.Now() < m_controller.cold_until()) {
    return ForwardResult::NotRun(RequestErrorCode::kTargetUnavailable,
                                 "what the cold target bears is not known yet",
                                 kRetryAfterTargetLoss);
  }
  if (!metadata.key)
    return std::nullopt;
  const std::uint32_t slot = SlotOfKey(*metadata.key);
  const Clock::Duration hold_left = m_controller.RemainingHold(slot);
  if (hold_left == Clock::Duration::zero()) {
    if (m_controller.IsBeingReleased(slot))
      return RefuseMovedKey();
    return ForwardResult::NotRun(RequestErrorCode::kNoOwner,
                                 "the target does not hold the key",
                                 RetryAfterMove());
  }
  const Clock::Duration min_hold = std::min<Clock::Duration>(
      kMinRenewedHold, m_admission.ExpectedServiceTime(metadata.route));
  if (hold_left < min_hold) {
    return ForwardResult::NotRun(RequestErrorCode::kLeaseLost,
                                 "the target's hold would end before the work",
                                 RetryAfterMove());
  }
  return std::nullopt;
}

std::optional<milliseconds> TargetGateway::RemainingHold(
    const ForwardMetadata& metadata) const {
  if (!metadata.key)
    return std::nullopt;
  return std::chrono::floor<milliseconds>(
      m_controller.RemainingHold(SlotOfKey(*metadata.key)));
}

std::optional<TargetNotice> TargetGateway::MakeNotice() const {
  TargetNotice notice = m_controller.condition().MakeNotice();
  notice.is_paced = m_admission.rate_limiter().IsLimiting();
  const bool has_news =
      notice.rate_limit || notice.leaving_for || notice.is_paced;
  return has_news ? std::optional(notice) : std::nullopt;
}

Task<ForwardResult> TargetGateway::Run(HttpRequest request,
                                       ForwardMetadata metadata,
                                       RequestContext& context) {
  if (metadata.notice)
    m_controller.OnNotice(*metadata.notice);
  ForwardResult result =
      co_await RunAtTarget(std::move(request), metadata, context);
  result.notice = MakeNotice();
  co_return result;
}

Task<ForwardResult> TargetGateway::RunAtTarget(HttpRequest request,
                                               const ForwardMetadata& metadata,
                                               RequestContext& context) {
  ++m_counts.offered;
  if (metadata.key)
    ++m_slot_request_counts[SlotOfKey(*metadata.key)];
  const Clock::TimePoint now = m_clock.Now();
  const Clock::TimePoint deadline = now + metadata.time_left;
  if (metadata.key && m_controller.IsAwaitingGrant(SlotOfKey(*metadata.key)))
    co_await AwaitGrant(metadata);
  if (auto refusal = CheckServable(metadata)) {
    CountResult(*refusal);
    co_return *refusal;
  }
  const std::uint64_t fingerprint = ComputeFingerprint(request);
  if (auto refusal = CheckQuarantine(fingerprint)) {
    CountResult(*refusal);
    co_return *refusal;
  }
  UpdateAdmission();
  const RequestTicket ticket = m_next_ticket;
  m_next_ticket = m_next_ticket.Next();
  ForwardResult admission = co_await AwaitAdmission(metadata, ticket, context);
  admission.times.queue = std::chrono::floor<milliseconds>(m_clock.Now() - now);
  if (!admission.has_answer()) {
    CountResult(admission);
    co_return admission;
  }
  const Clock::TimePoint admitted = m_clock.Now();
  std::optional<Clock::TimePoint> sent_at;
  ForwardResult result =
      co_await ForwardToTarget(std::move(request), metadata, deadline, ticket,
                               fingerprint, sent_at, context);
  const Clock::TimePoint ended = m_clock.Now();
  result.times.queue = admission.times.queue;
  result.times.target_connect =
      std::chrono::floor<milliseconds>(sent_at.value_or(ended) - admitted);
  result.times.target =
      std::chrono::floor<milliseconds>(ended - sent_at.value_or(ended));
  CountResult(result);
  co_return result;
}

Task<> TargetGateway::AwaitGrant(const ForwardMetadata& metadata) {
  const std::uint32_t slot = SlotOfKey(*metadata.key);
  const Clock::TimePoint give_up_at =
      m_clock.Now() + std::min(kGrantWaitTimeout, metadata.time_left / 3);
  boost::asio::steady_timer timer(m_loop);
  while (m_controller.IsAwaitingGrant(slot) && m_clock.Now() < give_up_at) {
    timer.expires_after(kGrantPollInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

Task<ForwardResult> TargetGateway::AwaitAdmission(
    const ForwardMetadata& metadata,
    RequestTicket ticket,
    RequestContext& context) {
  const Clock::TimePoint now = m_clock.Now();
  TargetAdmission::Request request;
  request.ticket = ticket;
  request.route = metadata.route;
  request.priority = metadata.priority;
  request.soft_deadline = now + metadata.soft_time_left;
  request.deadline = now + metadata.time_left;
  request.can_go_elsewhere = !metadata.key;
  TargetAdmission::Verdict verdict = m_admission.Offer(request);
  if (verdict == TargetAdmission::Verdict::kQueued) {
    auto waiting_request = std::make_shared<WaitingRequest>(m_loop, metadata);
    waiting_request->wakeup.expires_after(metadata.time_left);
    m_waiting_requests.emplace(ticket, waiting_request);
    context.SetCancelCallback(
        [waiting_request] { waiting_request->wakeup.cancel(); });
    boost::system::error_code ignored;
    co_await waiting_request->wakeup.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    context.ClearCancelCallback();
    m_waiting_requests.erase(ticket);
    if (waiting_request->refusal)
      co_return *waiting_request->refusal;
    if (!waiting_request->verdict)
      m_admission.Withdraw(ticket);
    verdict =
        waiting_request->verdict.value_or(TargetAdmission::Verdict::kRefused);
  }
  if (verdict == TargetAdmission::Verdict::kAdmitted) {
    ForwardResult admitted;
    admitted.outcome = RequestOutcome::kDone;
    co_return admitted;
  }
  // The key's next owner may have room in time.
  if (m_is_stopping && metadata.key) {
    co_return ForwardResult::NotRun(RequestErrorCode::kLeaseLost,
                                    "the target's node stops",
                                    RetryAfterMove());
  }
  co_return RefuseForLackOfRoom(metadata.route);
}

ForwardResult TargetGateway::RefuseForLackOfRoom(
    const std::string& route) const {
  const std::optional<double> limit = rate_limit();
  return ForwardResult::NotRun(
      RequestErrorCode::kOverloaded,
      limit ? fmt::format("the target takes {} requests a second", *limit)
            : std::string("it can't be done in time"),
      std::chrono::ceil<milliseconds>(m_admission.DrainTime(route)));
}

Task<ForwardResult> TargetGateway::ForwardToTarget(
    HttpRequest request,
    const ForwardMetadata& metadata,
    Clock::TimePoint deadline,
    RequestTicket ticket,
    std::uint64_t fingerprint,
    std::optional<Clock::TimePoint>& sent_at,
    RequestContext& context) {
  AdmissionGuard guard(*this, ticket);
  const HttpAddress address = m_controller.address();
  std::unique_ptr<AsyncHttpConnection> connection;
  try {
    // On a connection that has carried this id, a second answer to the earlier
    // send passes for the answer to this one: a repeated refusal told callers
    // that a request which ran had not.
    connection = co_await m_pool.AcquireFor(
        address,
        metadata.is_idempotent ? kMaxIdleIdempotent : kMaxIdleNonIdempotent,
        metadata.request_id);
  } catch (const ConnectRefusedError& error) {
    m_controller.OnRefused();
    co_return ForwardResult::NotRun(RequestErrorCode::kTargetUnavailable,
                                    error.what(), kRetryAfterTargetLoss);
  } catch (const ConnectError& error) {
    m_controller.OnCallEnded(false);
    co_return ForwardResult::NotRun(RequestErrorCode::kTargetUnavailable,
                                    error.what(), kRetryAfterTargetLoss);
  }
  // Connecting may have taken a while, so the state is checked again.
  if (context.ProbeCallerGone()) {
    m_pool.Release(address, std::move(connection));
    co_return ForwardResult::NotRun(RequestErrorCode::kCancelled,
                                    "its caller is gone");
  }
  std::optional<ForwardResult> refusal = CheckServable(metadata);
  // Its last crash may have become known while it waited.
  if (!refusal)
    refusal = CheckQuarantine(fingerprint);
  if (refusal) {
    m_pool.Release(address, std::move(connection));
    co_return *refusal;
  }
  const Clock::TimePoint started = m_clock.Now();
  const std::optional<milliseconds> hold_left = RemainingHold(metadata);
  const auto left =
      std::chrono::floor<milliseconds>(deadline - started) - kReplyAllowance;
  if (left <= milliseconds(0)) {
    m_pool.Release(address, std::move(connection));
    co_return ForwardResult::NotRun(RequestErrorCode::kDeadlinePassed,
                                    "its time was over before its turn");
  }
  // A limit may have been named meanwhile.
  UpdateAdmission();
  if (!m_admission.rate_limiter().TrySend()) {
    m_pool.Release(address, std::move(connection));
    co_return RefuseForLackOfRoom(metadata.route);
  }
  TargetRequestInfo target_info;
  target_info.request_id = metadata.request_id;
  target_info.time_left = left;
  target_info.expected_target = m_controller.incarnation().id;
  target_info.origin_service = metadata.origin_service;
  const std::uint64_t incarnation_number = m_controller.incarnation_number();
  const TargetController::Exchange exchange = m_controller.BeginExchange();
  context.SetCancelCallback([&connection] { connection->Close(); });
  sent_at = started;
  ++m_counts.sent;
  connection->AddRequestId(metadata.request_id);
  const RunningRequest running{fingerprint, incarnation_number};
  m_running_requests[ticket] = running;
  try {
    AsyncHttpConnection::IsMatchingResponse is_answer =
        [this, &metadata, &connection](const HttpResponse& answer) {
          const bool is_answer =
              IsAnswerTo(metadata.request_id, *connection, answer);
          if (!is_answer)
            ++m_counts.ignored_answers;
          return is_answer;
        };
    HttpRequest outgoing =
        m_protocol.MakeTargetRequest(std::move(request), target_info);
    HttpResponse response = co_await connection->Call(std::move(outgoing), left,
                                                      std::move(is_answer));
    context.ClearCancelCallback();
    m_controller.OnCallEnded(true);
    const TargetResponseInfo response_info =
        m_protocol.ReadTargetResponse(response);
    if (response_info.is_authentic || response_info.did_not_run) {
      m_controller.OnSignals(m_protocol.ReadTargetSignals(response),
                             response_info.did_not_run
                                 ? TargetCondition::AnswerKind::kRefusal
                                 : TargetCondition::AnswerKind::kRun,
                             started, incarnation_number);
    }
    if (!response_info.did_not_run) {
      const Clock::Duration run_time = m_clock.Now() - started;
      guard.SetServiceTime(run_time);
      OnRunEnded(metadata, run_time);
      if (response_info.is_authentic)
        m_controller.OnIncarnationConfirmed();
      // The target's own failure may be a run that its time limit ended before
      // it crashed the target.
      if (response.head.status < kServerError)
        m_poison_detector->OnFinished(RequestFingerprint(fingerprint));
    }
    m_pool.Release(address, std::move(connection));
    ForwardResult result = ClassifyResponse(std::move(response), response_info);
    result.hold_left = hold_left;
    co_return result;
  } catch (const ResponseTimeoutError& error) {
    context.ClearCancelCallback();
    m_controller.OnCallEnded(false);
    RecordUnanswered(running, false);
    co_return ForwardResult::Unknown(RequestErrorCode::kTargetTimeout,
                                     error.what());
  } catch (const BodyTooLargeError& error) {
    // This node gave it up, so it says nothing of the target's process.
    context.ClearCancelCallback();
    m_controller.OnCallEnded(true);
    RecordUnanswered(running, false);
    ++m_counts.endless_answers;
    co_return ForwardResult::Unknown(RequestErrorCode::kTruncatedAnswer,
                                     error.what());
  } catch (const HttpError& error) {
    context.ClearCancelCallback();
    if (context.is_caller_gone()) {
      // The target may go on with it.
      RecordUnanswered(running, false);
      co_return ForwardResult::Unknown(RequestErrorCode::kCancelled,
                                       "its caller is gone");
    }
    m_controller.OnExchangeBroken();
    OnConnectionBroken(running);
    co_return ForwardResult::Unknown(RequestErrorCode::kTargetFailed,
                                     error.what());
  }
}

bool TargetGateway::IsAnswerTo(const std::string& request_id,
                               const AsyncHttpConnection& connection,
                               const HttpResponse& answer) const {
  const TargetResponseInfo info = m_protocol.ReadTargetResponse(answer);
  if (info.request_id == request_id)
    return true;
  // A refusal that names no request may be a second answer to an earlier one,
  // unless there was none.
  return info.request_id.empty() && info.did_not_run &&
         connection.sent_request_ids().count() == 1;
}

void TargetGateway::OnRunEnded(const ForwardMetadata& metadata,
                               Clock::Duration run_time) {
  m_has_measured_service_time = true;
  if (metadata.key)
    m_long_runs.OnRun(metadata.route, run_time);
}

ForwardResult TargetGateway::ClassifyResponse(
    HttpResponse response,
    const TargetResponseInfo& response_info) {
  if (response_info.did_not_run) {
    ForwardResult refused = ForwardResult::NotRun(
        response_info.is_misdirected ? RequestErrorCode::kLeaseLost
                                     : RequestErrorCode::kTargetRefused,
        "the target refused it without running it", kRetryAfterRefusal);
    refused.reached_target = true;
    return refused;
  }
  if (!response_info.is_authentic) {
    return ForwardResult::Unknown(RequestErrorCode::kTruncatedAnswer,
                                  "the answer lacks the target's mark");
  }
  RemoveHopByHopHeaders(response.head.headers);
  return ForwardResult::Answered(std::move(response));
}

void TargetGateway::RefuseMovedKeys() {
  for (const auto& [ticket, waiting_request] : m_waiting_requests) {
    if (!waiting_request->slot ||
        m_controller.IsAssigned(*waiting_request->slot) ||
        !m_admission.Withdraw(ticket))
      continue;
    waiting_request->refusal = RefuseMovedKey();
    waiting_request->wakeup.cancel();
  }
}

void TargetGateway::ResumeWaiting() {
  const TargetAdmission::Changes changes = m_admission.Poll();
  const auto wake = [this](RequestTicket ticket,
                           TargetAdmission::Verdict verdict) {
    const auto found = m_waiting_requests.find(ticket);
    if (found == m_waiting_requests.end()) {
      // The caller went away just before the request was admitted.
      if (verdict == TargetAdmission::Verdict::kAdmitted)
        m_admission.OnFinished(ticket, std::nullopt);
      return;
    }
    found->second->verdict = verdict;
    found->second->wakeup.cancel();
  };
  for (const RequestTicket ticket : changes.admitted)
    wake(ticket, TargetAdmission::Verdict::kAdmitted);
  for (const RequestTicket ticket : changes.refused)
    wake(ticket, TargetAdmission::Verdict::kRefused);
}

void TargetGateway::LimitDeadlines(Clock::TimePoint time) {
  m_is_stopping = true;
  m_admission.LimitDeadlines(time);
}

std::size_t TargetGateway::Withdraw(std::uint64_t sender_id,
                                    const std::set<std::string>& request_ids) {
  std::size_t count = 0;
  for (const auto& [ticket, waiting_request] : m_waiting_requests) {
    // One that isn't in the queue any more has been admitted or refused.
    if (waiting_request->sender_id != sender_id ||
        !request_ids.contains(waiting_request->request_id) ||
        !m_admission.Withdraw(ticket))
      continue;
    waiting_request->refusal =
        ForwardResult::NotRun(RequestErrorCode::kNodeDraining,
                              "its sender stops", kRetryAfterWithdrawal);
    waiting_request->wakeup.cancel();
    ++count;
  }
  m_counts.withdrawn += count;
  return count;
}

void TargetGateway::SetColdLimit(const TargetRateLimiter::ColdLimit& limit) {
  m_admission.rate_limiter().SetColdLimit(limit);
  m_has_cold_limit = true;
}

void TargetGateway::UpdateAdmission() {
  m_admission.SetConcurrency(m_controller.concurrency());
  TargetRateLimiter& limiter = m_admission.rate_limiter();
  limiter.SetColdUntil(m_controller.cold_until());
  limiter.SetNamedLimit(m_controller.condition().rate_limit());
}

void TargetGateway::Tick() {
  UpdateAdmission();
  RefuseMovedKeys();
  ResumeWaiting();
}

std::optional<ForwardResult> TargetGateway::CheckQuarantine(
    std::uint64_t fingerprint) {
  const Clock::Duration left =
      m_poison_detector->QuarantineLeft(RequestFingerprint(fingerprint));
  if (left == Clock::Duration::zero())
    return std::nullopt;
  ++m_counts.quarantined;
  return ForwardResult::NotRun(
      RequestErrorCode::kQuarantined,
      fmt::format("its runs crashed targets, fingerprint {:016x}", fingerprint),
      std::chrono::ceil<milliseconds>(left));
}

std::optional<ForwardResult> TargetGateway::CheckQuarantine(
    const HttpRequest& request) {
  if (m_poison_detector->suspect_count() == 0)
    return std::nullopt;
  return CheckQuarantine(ComputeFingerprint(request));
}

void TargetGateway::RecordUnanswered(const RunningRequest& request,
                                     bool is_broken) {
  const Clock::TimePoint now = m_clock.Now();
  std::erase_if(m_unanswered_requests, [now](const UnansweredRequest& one) {
    return now - one.when > kUnansweredRetention;
  });
  if (m_unanswered_requests.size() >= kMaxUnanswered)
    m_unanswered_requests.erase(m_unanswered_requests.begin());
  m_unanswered_requests.push_back({request, now, is_broken});
}

void TargetGateway::OnConnectionBroken(const RunningRequest& request) {
  RecordUnanswered(request, true);
  if (!std::exchange(m_is_probing, true))
    boost::asio::co_spawn(m_loop, ProbeTarget(), boost::asio::detached);
}

Task<> TargetGateway::ProbeTarget() {
  const HttpAddress address = m_controller.address();
  boost::asio::steady_timer timer(m_loop);
  for (int probe = 0; probe < kProbesAfterBreak; ++probe) {
    if (probe > 0) {
      timer.expires_after(kProbeInterval);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    try {
      auto connection = co_await m_pool.Acquire(address, Clock::Duration(0));
      m_pool.Release(address, std::move(connection));
    } catch (const ConnectRefusedError&) {
      m_controller.OnRefused();
      break;
    } catch (const ConnectError& error) {
      spdlog::debug("event=target-probe-failed reason=\"{}\"", error.what());
    }
  }
  m_is_probing = false;
}

void TargetGateway::OnTargetLost(const TargetLoss& loss) {
  // What was sent to another process of the target has no part in the end of
  // this one.
  const auto is_lost = [&loss](const RunningRequest& request) {
    return request.incarnation_number == loss.incarnation_number;
  };
  std::vector<RequestFingerprint> suspects;
  for (const UnansweredRequest& one : m_unanswered_requests) {
    if (is_lost(one.request) && one.when >= loss.first_sign - kCrashWindow &&
        (one.is_broken || loss.is_unexpected_end))
      suspects.emplace_back(one.request.fingerprint);
  }
  const std::size_t unanswered = suspects.size();
  for (const auto& [ticket, request] : m_running_requests) {
    if (is_lost(request))
      suspects.emplace_back(request.fingerprint);
  }
  m_unanswered_requests.clear();
  if (suspects.empty())
    return;
  ++m_counts.crashes;
  m_poison_detector->OnCrash(suspects);
  spdlog::info(
      "event=target-crashed target={} reason={} unanswered={} running={} "
      "suspects={} quarantined={}",
      loss.target_id, loss.reason, unanswered, suspects.size() - unanswered,
      m_poison_detector->suspect_count(),
      m_poison_detector->quarantined_count());
}

std::vector<Heartbeat::SlotRequestCount>
TargetGateway::TakeSlotRequestCounts() {
  std::vector<Heartbeat::SlotRequestCount> counts;
  counts.reserve(m_slot_request_counts.size());
  for (const auto& [slot, count] : m_slot_request_counts)
    counts.push_back({slot, count});
  m_slot_request_counts.clear();
  return counts;
}

void TargetGateway::OnCrashReportReply(const CrashReportReply& reply,
                                       std::uint64_t leader_nonce) {
  LogQuarantined(m_crash_reporter.OnReply(reply, leader_nonce));
}

void TargetGateway::MergeCrashSuspects(
    const std::vector<CrashSuspect>& suspects) {
  LogQuarantined(m_poison_detector->Merge(suspects));
}

void TargetGateway::LogQuarantined(
    const std::vector<RequestFingerprint>& fingerprints) const {
  for (const RequestFingerprint fingerprint : fingerprints) {
    spdlog::info("event=request-quarantined fingerprint={:016x} crashes={}",
                 fingerprint.value(),
                 m_poison_detector->CrashCount(fingerprint));
  }
}

std::uint32_t TargetGateway::mean_service_time_us() const {
  if (!m_has_measured_service_time)
    return 0;
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          m_admission.mean_service_time())
          .count());
}

std::uint32_t TargetGateway::long_run_us() const {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          m_long_runs.long_run())
          .count());
}

void TargetGateway::CountResult(const ForwardResult& result) {
  switch (result.outcome) {
    case RequestOutcome::kDone:
      ++m_counts.answered;
      break;
    case RequestOutcome::kNotRun:
      ++m_counts.not_run;
      break;
    case RequestOutcome::kUnknown:
      ++m_counts.unknown;
      break;
  }
}

}  // namespace citrongrade
