#pragma once

#include "modules/coordination/load/retry_allowance.h"

namespace citrongrade {

// Bounds retries inside the system to a share of first tries.
//
// Load pattern: callers and nodes that resend all they lose. Without it a
// failing mesh gets twice or three times its load at the moment it fails, and
// stays down after the cause is gone. With a share of 0.1, retries add at most
// a tenth, however many requests fail; `burst` lets a quiet service retry at
// all.
//
// Needs no clock: first tries are what it counts by. Thread-confined; one for
// each service on a node.
class RetryBudget {
 public:
  struct Parameters {
    double retry_ratio = 0.1;
    double max_tokens = 10;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  explicit RetryBudget(const Parameters& parameters);

  void OnFirstAttempt();

  // Whether to retry a request that carries `allowance`; pays for it if so.
  bool TryAcquire(RetryAllowance allowance);

 private:
  Parameters m_parameters;
  double m_tokens;
};

}  // namespace citrongrade
