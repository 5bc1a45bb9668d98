#include "modules/coordination/load/retry_budget.h"

#include <algorithm>

namespace citrongrade {

RetryBudget::RetryBudget(const Parameters& parameters)
    : m_parameters(parameters), m_tokens(parameters.max_tokens) {}

void RetryBudget::OnFirstAttempt() {
  m_tokens =
      std::min(m_parameters.max_tokens, m_tokens + m_parameters.retry_ratio);
}

void RetryBudget::SetMaxTokens(double max_tokens) {
  m_parameters.max_tokens = max_tokens;
  m_tokens = std::min(m_tokens, max_tokens);
}

bool RetryBudget::TryAcquire(RetryAllowance allowance) {
  if (allowance.exhausted() || m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace citrongrade
