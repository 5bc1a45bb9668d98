#include "modules/coordination/load/retry_budget.h"

#include <algorithm>

namespace citrongrade {

RetryBudget::RetryBudget(const Parameters& parameters)
    : m_parameters(parameters), m_tokens(parameters.burst) {}

void RetryBudget::OnFirstTry() {
  m_tokens = std::min(m_parameters.burst,
                      m_tokens + m_parameters.share_of_first_tries);
}

bool RetryBudget::TryRetry(RetryAllowance allowance) {
  if (allowance.spent() || m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace citrongrade
