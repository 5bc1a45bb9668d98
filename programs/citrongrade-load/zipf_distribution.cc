#include "programs/citrongrade-load/zipf_distribution.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <random>

namespace citrongrade {

ZipfDistribution::ZipfDistribution(std::size_t count, double exponent) {
  m_cumulative.reserve(count);
  double sum = 0;
  for (std::size_t i = 0; i < count; ++i) {
    sum += std::pow(static_cast<double>(i + 1), -exponent);
    m_cumulative.push_back(sum);
  }
}

std::size_t ZipfDistribution::Draw(std::mt19937_64& random) const {
  std::uniform_real_distribution<double> uniform(0, m_cumulative.back());
  const auto found = std::upper_bound(m_cumulative.begin(), m_cumulative.end(),
                                      uniform(random));
  const auto last = std::prev(m_cumulative.end());
  return static_cast<std::size_t>(
      std::distance(m_cumulative.begin(), std::min(found, last)));
}

}  // namespace citrongrade
