#pragma once

#include <map>
#include <string>

#include "modules/coordination/load/retry_budget.h"

namespace citrongrade {

// The retry budgets of one node: one for each route to each service.
//
// Load pattern: requests of one route call another service while they run, and
// that service fails. With one budget for a service, this route took the
// retries of all routes, and each of its repeated runs repeated its calls: the
// failing service got several times the share of retries that it may get. With
// a budget for each route, a route repeats at most its share of its own runs,
// and so of its own calls.
//
// Thread-confined.
class RetryBudgets {
 public:
  explicit RetryBudgets(double retry_ratio) : m_retry_ratio(retry_ratio) {}

  // Retries that a service may get beyond the ratio, divided among its routes.
  // Tokens that are spent stay spent.
  void SetBurst(double burst);

  RetryBudget& For(const std::string& service, const std::string& route);

 private:
  void ApplyBurst(std::map<std::string, RetryBudget>& routes) const;
  double BurstOfRoute(std::size_t route_count) const;

  const double m_retry_ratio;
  double m_burst = 1;
  // By service and route.
  std::map<std::string, std::map<std::string, RetryBudget>> m_budgets;
};

}  // namespace citrongrade
