#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "modules/coordination/mesh/heartbeat.h"

namespace citrongrade {

// Counts the requests for each slot between two heartbeats, each with the
// weight of its work.
//
// Counts in heartbeats are whole requests. A request with a weight of a tenth
// is therefore not counted nine times, and as one request for its slot the
// tenth time. The sum of all counts is exact at any time; leaders of earlier
// versions take the result for a smaller number of longer requests.
//
// Thread-confined. See also TargetSpeedEstimator, which provides the weights.
class SlotRequestCounter {
 public:
  // `weight`: from 0 to 1.
  void Add(std::uint32_t slot, double weight);
  // Returns the counts since the last call.
  std::vector<Heartbeat::SlotRequestCount> Take();

 private:
  std::map<std::uint32_t, std::uint32_t> m_counts;
  // Sum of the weights that are not counted yet, below 1.
  double m_uncounted = 0;
};

}  // namespace citrongrade
