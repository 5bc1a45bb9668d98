#pragma once

#include "modules/coordination/load/retry_allowance.h"

namespace citrongrade {

// Limits retries inside the mesh to a share of the first attempts.
//
// Load pattern: callers and nodes that resend every failed request. Without a
// budget a failing mesh gets two or three times its load at the moment it
// fails, and stays overloaded after the cause is gone. With a share of 0.1,
// retries add at most a tenth, however many requests fail; `max_tokens` lets a
// service with few requests retry at all.
//
// Needs no clock, since tokens are earned by first attempts. Thread-confined.
// See also RetryBudgets.
class RetryBudget {
 public:
  struct Parameters {
    double retry_ratio = 0.1;
    double max_tokens = 10;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  explicit RetryBudget(const Parameters& parameters);

  void OnFirstAttempt();
  // Tokens beyond the new maximum are lost; none are added.
  void SetMaxTokens(double max_tokens);

  // Returns whether to retry a request that carries `allowance`, and takes a
  // token if so.
  bool TryAcquire(RetryAllowance allowance);

 private:
  Parameters m_parameters;
  double m_tokens;
};

}  // namespace citrongrade
