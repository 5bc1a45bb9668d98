#pragma once

#include <cstddef>
#include <random>
#include <vector>

namespace citrongrade {

// Draws 0 to count-1, the index i with weight 1/(i+1)^exponent; all alike with
// exponent 0.
class ZipfDistribution {
 public:
  ZipfDistribution(std::size_t count, double exponent);

  std::size_t Draw(std::mt19937_64& random) const;

 private:
  std::vector<double> m_cumulative;
};

}  // namespace citrongrade
