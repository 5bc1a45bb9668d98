#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "modules/coordination/clock.h"
#include "modules/coordination/grant_decision.h"
#include "modules/coordination/load/target_call_outcome.h"
#include "modules/coordination/stored_answer.h"

namespace citrongrade {

class HttpClientConnection;
class RequestTransfer;
class TargetConnectionPool;
struct AnswerHead;
struct HttpResponseHead;

// Gives one request to the target and its answer to the transfer: whole, or as
// an error, or cut off visibly. Blocks; for the threads of the target pool.
class TargetCall {
 public:
  // Asked as the very last step before the target's connection is written to.
  using GrantCheck = std::function<GrantDecision()>;

  struct Result {
    // kNotRun only when nothing was written to the target, or it said so.
    TargetCallOutcome outcome = TargetCallOutcome::kNotRun;
    bool was_granted = false;
    // The target closed the connection, or refused one, without an answer.
    bool connection_lost = false;
    // No answer came in time; the target may still work on it.
    bool timed_out = false;
    // The caller was gone when the answer came.
    bool was_late = false;
    // A small whole answer.
    std::shared_ptr<const StoredAnswer> answer;
  };

  TargetCall(const Clock& clock,
             TargetConnectionPool& pool,
             RequestTransfer& transfer);

  Result Run(const GrantCheck& check_grant);

 private:
  void Connect();
  bool Start(const GrantCheck& check_grant);
  void SendRequest(const GrantDecision& grant);
  void SendUpload();
  HttpResponseHead ReadHead();
  void PassAnswer(const HttpResponseHead& response);
  void PassSmallBody(AnswerHead answer);
  void PassLongBody(AnswerHead answer);
  // Answers the transfer with a refusal.
  void Refuse(AnswerHead refusal);
  std::chrono::milliseconds TimeLeft() const;

  const Clock& m_clock;
  TargetConnectionPool& m_pool;
  RequestTransfer& m_transfer;
  std::unique_ptr<HttpClientConnection> m_connection;
  Result m_result;
};

}  // namespace citrongrade
