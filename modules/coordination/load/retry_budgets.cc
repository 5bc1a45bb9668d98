#include "modules/coordination/load/retry_budgets.h"

#include <algorithm>

namespace citrongrade {

double RetryBudgets::BurstOfRoute(std::size_t route_count) const {
  // Below one token, a budget would never allow a retry.
  return std::max(1.0, m_burst / static_cast<double>(route_count));
}

void RetryBudgets::ApplyBurst(
    std::map<std::string, RetryBudget>& routes) const {
  for (auto& [route, budget] : routes)
    budget.SetMaxTokens(BurstOfRoute(routes.size()));
}

void RetryBudgets::SetBurst(double burst) {
  if (burst == m_burst)
    return;
  m_burst = burst;
  for (auto& [service, routes] : m_budgets)
    ApplyBurst(routes);
}

RetryBudget& RetryBudgets::For(const std::string& service,
                               const std::string& route) {
  std::map<std::string, RetryBudget>& routes = m_budgets[service];
  const auto found = routes.find(route);
  if (found != routes.end())
    return found->second;
  RetryBudget::Parameters parameters;
  parameters.retry_ratio = m_retry_ratio;
  parameters.max_tokens = BurstOfRoute(routes.size() + 1);
  RetryBudget& added =
      routes.emplace(route, RetryBudget(parameters)).first->second;
  ApplyBurst(routes);
  return added;
}

}  // namespace citrongrade
