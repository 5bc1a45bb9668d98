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
// Connections that break within this time are attributed to the same crash.
constexpr milliseconds kCrashWindow{1000};
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

std::uint64_t ComputeFingerprint(const HttpRequest& request) {
  std::uint64_t mark =
      XXH3_64bits(request.target.data(), request.target.size());
  mark =
      XXH3_64bits_withSeed(request.method.data(), request.method.size(), mark);
  return XXH3_64bits_withSeed(request.body.data(), request.body.size(), mark);
}

}  // namespace

// A request that waits for admission.
struct TargetGateway::WaitingRequest {
  explicit WaitingRequest(boost::asio::io_context& loop) : wakeup(loop) {}

  boost::asio::steady_timer wakeup;
  std::optional<TargetAdmission::Verdict> verdict;
};

// Frees the request's place at the target when the request ends, on every path.
class TargetGateway::AdmissionGuard {
 public:
  AdmissionGuard(TargetGateway& gateway, RequestTicket ticket)
      : m_gateway(gateway), m_ticket(ticket) {}
  ~AdmissionGuard() {
    m_gateway.m_running_fingerprints.erase(m_ticket);
    m_gateway.m_admission.OnFinished(m_ticket, m_work);
    m_gateway.ResumeWaiting();
  }
  AdmissionGuard(const AdmissionGuard&) = delete;
  AdmissionGuard& operator=(const AdmissionGuard&) = delete;

  void SetWork(Clock::Duration work) { m_work = work; }

 private:
  TargetGateway& m_gateway;
  const RequestTicket m_ticket;
  std::optional<Clock::Duration> m_work;
};

TargetGateway::TargetGateway(boost::asio::io_context& loop,
                             const Clock& clock,
                             const WireProtocol& dialect,
                             TargetController& keeper,
                             AsyncConnectionPool& pool)
    : m_loop(loop),
      m_clock(clock),
      m_dialect(dialect),
      m_keeper(keeper),
      m_pool(pool),
      m_admission(clock, TargetAdmission::Parameters()),
      m_poison_detector(
          std::make_unique<PoisonDetector>(clock,
                                           PoisonDetector::Parameters())) {}

TargetGateway::~TargetGateway() = default;

milliseconds TargetGateway::RetryAfterMove() const {
  // Requests that run on the key have to end first.
  return std::max(kRetryAfterMove, std::chrono::ceil<milliseconds>(
                                       m_admission.mean_service_time()));
}

std::optional<ForwardResult> TargetGateway::CheckServable(
    const ForwardMetadata& order) const {
  if (m_keeper.service() != order.service) {
    return ForwardResult::NotRun(
        RequestErrorCode::kNoOwner,
        "this node's target belongs to another service", kRetryAfterMove);
  }
  if (!m_keeper.IsServing()) {
    return ForwardResult::NotRun(RequestErrorCode::kTargetUnavailable,
                                 "the target is gone or draining",
                                 kRetryAfterTargetLoss);
  }
  if (!order.key)
    return std::nullopt;
  const std::uint32_t slot = SlotOfKey(*order.key);
  const Clock::Duration hold_left = m_keeper.RemainingHold(slot);
  if (hold_left == Clock::Duration::zero()) {
    if (m_keeper.IsBeingReleased(slot)) {
      return ForwardResult::NotRun(RequestErrorCode::kLeaseLost,
                                   "the key is moving to another target",
                                   RetryAfterMove());
    }
    return ForwardResult::NotRun(RequestErrorCode::kNoOwner,
                                 "the target does not hold the key",
                                 RetryAfterMove());
  }
  const Clock::Duration least = std::min<Clock::Duration>(
      kMinRenewedHold, m_admission.ExpectedServiceTime(order.route));
  if (hold_left < least) {
    return ForwardResult::NotRun(
        RequestErrorCode::kLeaseLost,
        "the target's hold would end before the request completes",
        RetryAfterMove());
  }
  return std::nullopt;
}

std::optional<milliseconds> TargetGateway::RemainingHold(
    const ForwardMetadata& order) const {
  if (!order.key)
    return std::nullopt;
  return std::chrono::floor<milliseconds>(
      m_keeper.RemainingHold(SlotOfKey(*order.key)));
}

Task<ForwardResult> TargetGateway::Run(HttpRequest request,
                                       ForwardMetadata order,
                                       RequestContext& context) {
  ++m_counts.offered;
  if (order.key)
    ++m_arrivals[SlotOfKey(*order.key)];
  const Clock::TimePoint now = m_clock.Now();
  const Clock::TimePoint deadline = now + order.time_left;
  if (order.key && m_keeper.IsAwaitingGrant(SlotOfKey(*order.key)))
    co_await AwaitGrant(order);
  if (auto obstacle = CheckServable(order)) {
    CountResult(*obstacle);
    co_return *obstacle;
  }
  const std::uint64_t mark = ComputeFingerprint(request);
  if (m_poison_detector->IsQuarantined(RequestFingerprint(mark))) {
    auto refusal =
        ForwardResult::NotRun(RequestErrorCode::kQuarantined,
                              "earlier runs of the request crashed targets");
    CountResult(refusal);
    co_return refusal;
  }
  m_admission.SetConcurrency(m_keeper.concurrency());
  const RequestTicket ticket = m_next_ticket;
  m_next_ticket = m_next_ticket.Next();
  ForwardResult turn = co_await AwaitAdmission(order, ticket, context);
  turn.times.queue = std::chrono::floor<milliseconds>(m_clock.Now() - now);
  if (!turn.has_answer()) {
    CountResult(turn);
    co_return turn;
  }
  m_running_fingerprints[ticket] = mark;
  const Clock::TimePoint admitted = m_clock.Now();
  std::optional<Clock::TimePoint> passed;
  ForwardResult result = co_await ForwardToTarget(
      std::move(request), order, deadline, ticket, passed, context);
  const Clock::TimePoint ended = m_clock.Now();
  result.times.queue = turn.times.queue;
  result.times.target_connect =
      std::chrono::floor<milliseconds>(passed.value_or(ended) - admitted);
  result.times.target =
      std::chrono::floor<milliseconds>(ended - passed.value_or(ended));
  CountResult(result);
  co_return result;
}

Task<> TargetGateway::AwaitGrant(const ForwardMetadata& order) {
  const std::uint32_t slot = SlotOfKey(*order.key);
  const Clock::TimePoint give_up =
      m_clock.Now() + std::min(kGrantWaitTimeout, order.time_left / 3);
  boost::asio::steady_timer timer(m_loop);
  while (m_keeper.IsAwaitingGrant(slot) && m_clock.Now() < give_up) {
    timer.expires_after(kGrantPollInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

Task<ForwardResult> TargetGateway::AwaitAdmission(const ForwardMetadata& order,
                                                  RequestTicket ticket,
                                                  RequestContext& context) {
  const Clock::TimePoint now = m_clock.Now();
  TargetAdmission::Request request;
  request.ticket = ticket;
  request.route = order.route;
  request.priority = order.priority;
  request.soft_deadline = now + order.soft_time_left;
  request.deadline = now + order.time_left;
  TargetAdmission::Verdict verdict = m_admission.Offer(request);
  if (verdict == TargetAdmission::Verdict::kQueued) {
    auto pending = std::make_shared<WaitingRequest>(m_loop);
    pending->wakeup.expires_after(order.time_left);
    m_waiting_requests.emplace(ticket, pending);
    context.SetStop([pending] { pending->wakeup.cancel(); });
    boost::system::error_code ignored;
    co_await pending->wakeup.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    context.ClearStop();
    m_waiting_requests.erase(ticket);
    if (!pending->verdict)
      m_admission.Withdraw(ticket);
    verdict = pending->verdict.value_or(TargetAdmission::Verdict::kRefused);
  }
  if (verdict == TargetAdmission::Verdict::kAdmitted) {
    ForwardResult admitted;
    admitted.outcome = RequestOutcome::kDone;
    co_return admitted;
  }
  co_return ForwardResult::NotRun(
      RequestErrorCode::kOverloaded, "the request can't be completed in time",
      std::chrono::ceil<milliseconds>(m_admission.DrainTime()));
}

Task<ForwardResult> TargetGateway::ForwardToTarget(
    HttpRequest request,
    const ForwardMetadata& order,
    Clock::TimePoint deadline,
    RequestTicket ticket,
    std::optional<Clock::TimePoint>& passed,
    RequestContext& context) {
  AdmissionGuard place(*this, ticket);
  const HttpAddress address = m_keeper.address();
  std::unique_ptr<AsyncHttpConnection> connection;
  try {
    connection = co_await m_pool.Take(address, order.is_idempotent
                                                   ? kMaxIdleIdempotent
                                                   : kMaxIdleNonIdempotent);
  } catch (const ConnectRefusedError& error) {
    m_keeper.OnRefused();
    co_return ForwardResult::NotRun(RequestErrorCode::kTargetUnavailable,
                                    error.what(), kRetryAfterTargetLoss);
  } catch (const ConnectError& error) {
    m_keeper.OnCallEnded(false);
    co_return ForwardResult::NotRun(RequestErrorCode::kTargetUnavailable,
                                    error.what(), kRetryAfterTargetLoss);
  }
  // Connecting may have taken a while, so the state is checked again.
  if (context.LooksGone()) {
    m_pool.GiveBack(address, std::move(connection));
    co_return ForwardResult::NotRun(RequestErrorCode::kCancelled,
                                    "the caller closed the connection");
  }
  if (auto obstacle = CheckServable(order)) {
    m_pool.GiveBack(address, std::move(connection));
    co_return *obstacle;
  }
  const Clock::TimePoint started = m_clock.Now();
  const std::optional<milliseconds> hold_left = RemainingHold(order);
  const auto left =
      std::chrono::floor<milliseconds>(deadline - started) - kReplyAllowance;
  if (left <= milliseconds(0)) {
    m_pool.GiveBack(address, std::move(connection));
    co_return ForwardResult::NotRun(
        RequestErrorCode::kDeadlinePassed,
        "the deadline passed before the request was admitted");
  }
  TargetRequestInfo addressing;
  addressing.request_id = order.request_id;
  addressing.time_left = left;
  addressing.expected_target = m_keeper.incarnation().id;
  addressing.origin_service = order.origin_service;
  context.SetStop([&connection] { connection->Close(); });
  passed = started;
  try {
    AsyncHttpConnection::IsAnswer is_answer =
        [this, id = order.request_id](const HttpResponse& answer) {
          const TargetResponseInfo facts = m_dialect.ReadTargetResponse(answer);
          return facts.request_id == id ||
                 (facts.request_id.empty() && facts.did_not_run);
        };
    HttpRequest outgoing =
        m_dialect.MakeTargetRequest(std::move(request), addressing);
    HttpResponse response = co_await connection->Call(std::move(outgoing), left,
                                                      std::move(is_answer));
    context.ClearStop();
    m_keeper.OnCallEnded(true);
    const TargetResponseInfo facts = m_dialect.ReadTargetResponse(response);
    if (!facts.did_not_run) {
      place.SetWork(m_clock.Now() - started);
      m_has_measured_work = true;
      if (facts.is_authentic)
        m_keeper.OnIncarnationConfirmed();
      m_poison_detector->OnFinished(
          RequestFingerprint(m_running_fingerprints[ticket]));
    }
    m_pool.GiveBack(address, std::move(connection));
    ForwardResult result = ClassifyResponse(std::move(response), facts);
    result.hold_left = hold_left;
    co_return result;
  } catch (const ResponseTimeoutError& error) {
    context.ClearStop();
    m_keeper.OnCallEnded(false);
    co_return ForwardResult::Unknown(RequestErrorCode::kTargetTimeout,
                                     error.what());
  } catch (const HttpError& error) {
    context.ClearStop();
    if (context.is_caller_gone()) {
      co_return ForwardResult::Unknown(RequestErrorCode::kCancelled,
                                       "the caller closed the connection");
    }
    OnConnectionBroken(m_running_fingerprints[ticket]);
    co_return ForwardResult::Unknown(RequestErrorCode::kTargetFailed,
                                     error.what());
  }
}

ForwardResult TargetGateway::ClassifyResponse(HttpResponse response,
                                              const TargetResponseInfo& facts) {
  if (facts.did_not_run) {
    ForwardResult refused = ForwardResult::NotRun(
        facts.is_misdirected ? RequestErrorCode::kLeaseLost
                             : RequestErrorCode::kTargetRefused,
        "the target refused the request without running it",
        kRetryAfterRefusal);
    refused.reached_target = true;
    return refused;
  }
  if (!facts.is_authentic) {
    return ForwardResult::Unknown(
        RequestErrorCode::kTruncatedAnswer,
        "the response is not marked as the target's own");
  }
  RemoveHopByHopHeaders(response.head.headers);
  return ForwardResult::Answered(std::move(response));
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

void TargetGateway::Tick() {
  ResumeWaiting();
}

void TargetGateway::OnConnectionBroken(std::uint64_t mark) {
  const Clock::TimePoint now = m_clock.Now();
  std::erase_if(m_broken_connections, [now](const BrokenConnection& broken) {
    return now - broken.when > kCrashWindow;
  });
  if (m_broken_connections.empty())
    boost::asio::co_spawn(m_loop, ProbeTarget(), boost::asio::detached);
  m_broken_connections.push_back({mark, now});
}

Task<> TargetGateway::ProbeTarget() {
  const HttpAddress address = m_keeper.address();
  try {
    auto connection = co_await m_pool.Take(address, Clock::Duration(0));
    m_pool.GiveBack(address, std::move(connection));
  } catch (const ConnectRefusedError&) {
    m_keeper.OnRefused();
  } catch (const ConnectError& error) {
    spdlog::debug("event=target-probe-failed reason=\"{}\"", error.what());
  }
}

void TargetGateway::OnTargetLost() {
  std::vector<RequestFingerprint> suspects;
  for (const BrokenConnection& broken : m_broken_connections)
    suspects.emplace_back(broken.fingerprint);
  m_broken_connections.clear();
  for (const auto& [ticket, mark] : m_running_fingerprints)
    suspects.emplace_back(mark);
  m_poison_detector->OnCrash(suspects);
}

std::vector<Heartbeat::SlotRequestCount>
TargetGateway::TakeSlotRequestCounts() {
  std::vector<Heartbeat::SlotRequestCount> arrivals;
  arrivals.reserve(m_arrivals.size());
  for (const auto& [slot, count] : m_arrivals)
    arrivals.push_back({slot, count});
  m_arrivals.clear();
  return arrivals;
}

std::vector<std::uint64_t> TargetGateway::TakeCrashSuspects() {
  std::vector<std::uint64_t> marks;
  for (const RequestFingerprint mark : m_poison_detector->TakeReports())
    marks.push_back(mark.value());
  return marks;
}

void TargetGateway::MergeCrashSuspects(
    const std::vector<std::uint64_t>& suspects) {
  std::vector<RequestFingerprint> marks;
  marks.reserve(suspects.size());
  for (const std::uint64_t suspect : suspects)
    marks.emplace_back(suspect);
  m_poison_detector->MergePeerReports(marks);
}

std::uint32_t TargetGateway::mean_service_time_us() const {
  if (!m_has_measured_work)
    return 0;
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          m_admission.mean_service_time())
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
