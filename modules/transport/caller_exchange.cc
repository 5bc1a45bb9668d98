#include "modules/transport/caller_exchange.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <span>
#include <thread>
#include <utility>
#include <vector>

#include "modules/transport/body_pipe.h"
#include "modules/transport/caller_connection_watch.h"
#include "modules/transport/data_rpc_client.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/http_exchange.h"
#include "modules/transport/node_metrics.h"
#include "modules/transport/refusals.h"
#include "modules/transport/request_carrier.h"
#include "modules/transport/request_id_generator.h"
#include "modules/transport/request_transfer.h"
#include "modules/transport/route_chooser.h"

namespace citrongrade {

namespace {

// A caller that closed is noticed after this, and work for it is cancelled.
constexpr std::chrono::milliseconds kCallerCheckInterval{100};
// Before the second attempt, doubled for each further one: a takeover or a move
// that is being read from the log needs some tens of milliseconds.
constexpr std::chrono::milliseconds kFirstRetryPause{20};
constexpr std::chrono::milliseconds kRetryAfterNoOwner{500};
// Where nothing better is known than that it may pass.
constexpr std::chrono::milliseconds kDefaultRetryAfter{1000};
// The part of the deadline that is left for the answer's way back, so that the
// owner's own word at its deadline comes in time.
constexpr int kDeadlineShareForReturn = 10;
constexpr std::chrono::milliseconds kLongestReturn{20};

CallerRequest MakeCallerRequest(const HttpExchange& exchange) {
  return {exchange.method(),
          exchange.path(),
          exchange.query(),
          exchange.headers(),
          exchange.body_length().bytes(),
          exchange.remote_address()};
}

std::uint64_t Fingerprint(const ForwardedRequest& request,
                          const std::string& first_bytes) {
  std::string text = request.service.ToString();
  text.append(1, '\0').append(request.method);
  text.append(1, '\0').append(request.target);
  text.append(1, '\0').append(request.key);
  const std::uint64_t head = XXH3_64bits(text.data(), text.size());
  return XXH3_64bits_withSeed(first_bytes.data(), first_bytes.size(), head);
}

bool IsWorthAnotherTry(RequestErrorCode error) {
  switch (error) {
    case RequestErrorCode::kNoOwner:
    case RequestErrorCode::kOwnerUnreachable:
    case RequestErrorCode::kLeaseLost:
    case RequestErrorCode::kNodeDraining:
    case RequestErrorCode::kNodeNotReady:
    case RequestErrorCode::kTargetUnavailable:
    case RequestErrorCode::kTargetFailed:
      return true;
    default:
      return false;
  }
}

TargetCallOutcome ToRunOutcome(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kDone:
      return TargetCallOutcome::kDone;
    case RequestOutcome::kNotRun:
      return TargetCallOutcome::kNotRun;
    case RequestOutcome::kUnknown:
      return TargetCallOutcome::kUnknown;
  }
  return TargetCallOutcome::kUnknown;
}

std::vector<HttpHeader> AnswerHeaders(const AnswerHead& answer,
                                      const std::string& request_id) {
  std::vector<HttpHeader> headers;
  headers.reserve(answer.headers.size() + 3);
  for (const HeaderField& field : answer.headers)
    headers.push_back({field.name, field.value});
  headers.push_back(
      {"Citrongrade-Outcome", std::string(ToString(answer.outcome))});
  headers.push_back({"Citrongrade-Request-Id", request_id});
  return headers;
}

// Cancels what still runs when its caller can't be answered any more.
class ScopedCancel {
 public:
  explicit ScopedCancel(std::shared_ptr<RequestTransfer>& transfer)
      : m_transfer(transfer) {}
  ~ScopedCancel() {
    if (m_transfer)
      m_transfer->Cancel();
  }
  ScopedCancel(const ScopedCancel&) = delete;
  ScopedCancel& operator=(const ScopedCancel&) = delete;

 private:
  std::shared_ptr<RequestTransfer>& m_transfer;
};

}  // namespace

CallerExchange::CallerExchange(const CallerHandler::Dependencies& dependencies,
                               RequestIdGenerator& request_ids,
                               HttpExchange& exchange)
    : m_dependencies(dependencies),
      m_request_ids(request_ids),
      m_exchange(exchange),
      m_arrived(dependencies.clock.Now()) {}

void CallerExchange::Serve(const CallerRequestParser& parser) {
  m_parsed = parser.Parse(MakeCallerRequest(m_exchange));
  m_deadline = m_arrived + m_parsed.request.deadline;
  ReadFirstBytes();
  m_parsed.request.fingerprint = Fingerprint(m_parsed.request, m_first_bytes);
  const ScopedCancel cancel(m_transfer);
  m_dependencies.chooser.OnFirstTry(m_parsed.settings->id);
  std::string failed;
  std::chrono::milliseconds pause = kFirstRetryPause;
  while (true) {
    const std::optional<Route> route =
        m_dependencies.chooser.Choose(*m_parsed.settings, m_parsed.slot_key,
                                      m_parsed.request.work_class(), failed);
    AnswerHead answer = Attempt(route);
    if (!MayRetry(answer)) {
      // What the last attempt proves, it proves of itself alone.
      if (answer.outcome == RequestOutcome::kNotRun && m_may_have_run)
        answer.outcome = RequestOutcome::kUnknown;
      SendAnswer(answer);
      m_transfer.reset();
      return;
    }
    m_may_have_run |= answer.outcome == RequestOutcome::kUnknown;
    m_dependencies.metrics.OnRetried();
    m_allowance = m_allowance.AfterRetry();
    failed = route ? route->data_address : std::string();
    std::this_thread::sleep_for(pause);
    pause *= 2;
  }
}

void CallerExchange::ReadFirstBytes() {
  const HttpBodyLength length = m_exchange.body_length();
  if (length == HttpBodyLength::None()) {
    m_body_is_whole = true;
    return;
  }
  m_first_bytes.resize(RequestTransfer::kInlineBytes);
  std::size_t count = 0;
  while (count < m_first_bytes.size()) {
    const std::size_t read =
        m_exchange.ReadBody(std::span(m_first_bytes).subspan(count));
    count += read;
    if (read == 0 || count == length.bytes()) {
      m_body_is_whole = true;
      break;
    }
  }
  m_first_bytes.resize(count);
}

AnswerHead CallerExchange::Attempt(const std::optional<Route>& route) {
  ForwardedRequest request = m_parsed.request;
  request.request_id = m_request_ids.Next();
  request.attempts_left = m_allowance.attempts_left;
  const bool any_member = m_parsed.slot_key.empty();
  if (route && !any_member)
    request.slot = route->slot;
  const auto back = std::min<Clock::Duration>(
      m_parsed.request.deadline / kDeadlineShareForReturn, kLongestReturn);
  m_transfer =
      std::make_shared<RequestTransfer>(std::move(request), m_deadline - back);
  if (!route) {
    return RefuseNotRun(RequestErrorCode::kNoOwner,
                        "nobody serves this key now", kRetryAfterNoOwner);
  }
  const Clock::TimePoint started = m_dependencies.clock.Now();
  Carry(*route);
  AnswerHead answer = AwaitAnswer();
  if (any_member) {
    m_dependencies.chooser.OnFinished(
        m_parsed.settings->id, *route, m_parsed.request.work_class(),
        ToRunOutcome(answer.outcome), m_dependencies.clock.Now() - started);
  }
  return answer;
}

void CallerExchange::Carry(const Route& route) {
  m_transfer->upload().TryWrite(m_first_bytes);
  if (m_body_is_whole)
    m_transfer->upload().End();
  if (route.is_local) {
    m_dependencies.local.Carry(m_transfer);
  } else {
    m_dependencies.metrics.OnForwarded();
    m_dependencies.remote.Forward(route.data_address, m_transfer);
  }
  if (!m_body_is_whole)
    FeedUpload();
}

void CallerExchange::FeedUpload() {
  std::vector<char> buffer(RequestTransfer::kInlineBytes);
  std::uint64_t total = m_first_bytes.size();
  while (const std::size_t count = m_exchange.ReadBody(buffer)) {
    total += count;
    if (total > m_parsed.settings->max_body_bytes) {
      // A chunked body tells its length only now.
      m_transfer->upload().Fail();
      return;
    }
    const std::string_view bytes(buffer.data(), count);
    if (!m_transfer->upload().Write(bytes, m_transfer->deadline()))
      return;
  }
  m_transfer->upload().End();
}

AnswerHead CallerExchange::AwaitAnswer() {
  const Clock& clock = m_dependencies.clock;
  CallerConnectionWatch watch(m_exchange.remote_address());
  while (true) {
    const Clock::TimePoint now = clock.Now();
    if (now >= m_deadline) {
      return GiveUp(RequestErrorCode::kDeadlinePassed,
                    "no answer came before the deadline");
    }
    const auto answer = m_transfer->WaitForAnswer(
        std::min(m_deadline, now + kCallerCheckInterval));
    if (answer)
      return *answer;
    if (watch.IsClosed()) {
      m_dependencies.metrics.OnCallerGone();
      throw ConnectionClosedError("the caller closed before its answer");
    }
  }
}

AnswerHead CallerExchange::GiveUp(RequestErrorCode error,
                                  const std::string& message) {
  const bool never_started = m_transfer->Cancel();
  return never_started ? RefuseNotRun(error, message)
                       : RefuseUnknown(error, message);
}

bool CallerExchange::MayRetry(const AnswerHead& answer) {
  if (!answer.is_refusal() || answer.outcome == RequestOutcome::kDone)
    return false;
  const bool safe = answer.outcome == RequestOutcome::kNotRun ||
                    m_parsed.request.is_idempotent;
  const bool other_target = m_parsed.slot_key.empty() &&
                            (answer.error == RequestErrorCode::kOverloaded ||
                             answer.error == RequestErrorCode::kTargetRefused);
  if (!safe || !(IsWorthAnotherTry(*answer.error) || other_target))
    return false;
  // What was streamed on is gone.
  if (!m_body_is_whole)
    return false;
  const auto enough = 4 * kFirstRetryPause;
  if (m_dependencies.clock.Now() + enough >= m_deadline)
    return false;
  return m_dependencies.chooser.TryRetry(m_parsed.settings->id, m_allowance);
}

void CallerExchange::SendAnswer(const AnswerHead& answer) {
  NodeMetrics& metrics = m_dependencies.metrics;
  if (answer.is_refusal()) {
    metrics.OnRefused(*answer.error);
    SendRefusal(m_exchange, answer, m_transfer->request().request_id);
  } else if (answer.body_length &&
             *answer.body_length <= RequestTransfer::kInlineBytes) {
    SendSmallBody(answer);
  } else {
    SendLongBody(answer);
  }
  metrics.OnAnswered(answer.outcome, m_dependencies.clock.Now() - m_arrived);
}

void CallerExchange::SendSmallBody(const AnswerHead& answer) {
  std::string body;
  body.reserve(*answer.body_length);
  while (true) {
    BodyPipe::ReadResult next = m_transfer->download().Read(m_deadline);
    if (next.state == BodyPipe::ReadState::kEnd)
      break;
    if (next.state != BodyPipe::ReadState::kBytes) {
      SendAnswer(RefuseUnknown(RequestErrorCode::kTruncatedAnswer,
                               "the answer was cut short on its way"));
      return;
    }
    body += next.bytes;
  }
  m_exchange.Send(answer.status,
                  AnswerHeaders(answer, m_transfer->request().request_id),
                  body);
}

void CallerExchange::SendLongBody(const AnswerHead& answer) {
  const HttpBodyLength length =
      answer.body_length ? HttpBodyLength::Exactly(*answer.body_length)
                         : HttpBodyLength::Chunked();
  m_exchange.SendHead(answer.status,
                      AnswerHeaders(answer, m_transfer->request().request_id),
                      length);
  while (true) {
    const BodyPipe::ReadResult next = m_transfer->download().Read(m_deadline);
    if (next.state == BodyPipe::ReadState::kEnd)
      break;
    if (next.state != BodyPipe::ReadState::kBytes) {
      // The head has gone out, so only a cut connection can tell the caller.
      m_dependencies.metrics.OnAnswerCut();
      m_transfer->Cancel();
      throw TruncatedBodyError("the target's answer was cut short");
    }
    m_exchange.SendBody(next.bytes);
  }
  m_exchange.EndBody();
}

void CallerExchange::SendRefusal(HttpExchange& exchange,
                                 const AnswerHead& refusal,
                                 const std::string& request_id) {
  const HttpResponse response = MakeRefusal(refusal, request_id);
  exchange.Send(response.head.status, response.head.headers, response.body);
}

HttpResponse CallerExchange::MakeRefusal(const AnswerHead& refusal,
                                         const std::string& request_id) {
  std::chrono::milliseconds retry_after = refusal.retry_after;
  if (retry_after.count() == 0 && MayPass(*refusal.error))
    retry_after = kDefaultRetryAfter;
  const nlohmann::json body = {
      {"outcome", ToString(refusal.outcome)},
      {"error", ToString(*refusal.error)},
      {"message", refusal.message},
      {"retry_after_ms", retry_after.count()},
      {"request_id", request_id},
  };
  std::vector<HttpHeader> headers = AnswerHeaders(refusal, request_id);
  headers.push_back({"Content-Type", "application/json"});
  if (retry_after.count() > 0) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  constexpr auto kReplaceBadText = nlohmann::json::error_handler_t::replace;
  HttpResponse response;
  response.head.status = StatusOf(*refusal.error);
  response.head.headers = std::move(headers);
  response.body = body.dump(-1, ' ', false, kReplaceBadText);
  return response;
}

}  // namespace citrongrade
