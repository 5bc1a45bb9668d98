#pragma once

#include <memory>
#include <optional>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/retry_allowance.h"
#include "modules/coordination/route.h"
#include "modules/protocol/answer_head.h"
#include "modules/transport/caller_handler.h"
#include "modules/transport/caller_request_parser.h"
#include "modules/transport/http_response.h"

namespace citrongrade {

class HttpExchange;
class RequestIdGenerator;
class RequestTransfer;

// One caller's request from arrival to answer. On its connection's thread.
// For CallerHandler only.
class CallerExchange {
 public:
  CallerExchange(const CallerHandler::Dependencies& dependencies,
                 RequestIdGenerator& request_ids,
                 HttpExchange& exchange);

  // Throws RequestRefusedError before anything was carried on, HttpError when
  // the caller is gone.
  void Serve(const CallerRequestParser& parser);

  // A refusal as callers get it: headers, and a body of JSON.
  static HttpResponse MakeRefusal(const AnswerHead& refusal,
                                  const std::string& request_id);
  static void SendRefusal(HttpExchange& exchange,
                          const AnswerHead& refusal,
                          const std::string& request_id);

 private:
  void ReadFirstBytes();
  // One attempt, until it has its answer.
  AnswerHead Attempt(const std::optional<Route>& route);
  void Carry(const Route& route);
  void FeedUpload();
  AnswerHead AwaitAnswer();
  AnswerHead GiveUp(RequestErrorCode error, const std::string& message);
  bool MayRetry(const AnswerHead& answer);
  void SendAnswer(const AnswerHead& answer);
  void SendSmallBody(const AnswerHead& answer);
  void SendLongBody(const AnswerHead& answer);

  const CallerHandler::Dependencies& m_dependencies;
  RequestIdGenerator& m_request_ids;
  HttpExchange& m_exchange;
  const Clock::TimePoint m_arrived;
  Clock::TimePoint m_deadline;
  CallerRequestParser::Parsed m_parsed;
  std::string m_first_bytes;
  bool m_body_is_whole = false;
  RetryAllowance m_allowance;
  // An earlier attempt may have run.
  bool m_may_have_run = false;
  std::shared_ptr<RequestTransfer> m_transfer;
};

}  // namespace citrongrade
