#pragma once

#include <string>

#include "benchmarks/load_policy_results.h"

namespace citrongrade {

// What a pattern's result must not pass. Counts and ratios only: they are the
// same in every run, whatever the machine does besides.
struct LoadPolicyBound {
  enum class Kind { kAtMost, kAtLeast };

  // Empty: every pattern.
  std::string pattern;
  std::string measure;
  double (*value)(const LoadPolicyResults&) = nullptr;
  Kind kind = Kind::kAtMost;
  double bound = 0;
  // When set, the value is divided by this pattern's.
  std::string relative_to;
  // What is aimed for, where the bound is another figure.
  std::string aim;

  bool IsKept(double measured) const {
    return kind == Kind::kAtMost ? measured <= bound : measured >= bound;
  }
};

}  // namespace citrongrade
