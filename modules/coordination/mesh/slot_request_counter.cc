#include "modules/coordination/mesh/slot_request_counter.h"

namespace citrongrade {

void SlotRequestCounter::Add(std::uint32_t slot, double weight) {
  m_uncounted += weight;
  if (m_uncounted < 1)
    return;
  m_uncounted -= 1;
  ++m_counts[slot];
}

std::vector<Heartbeat::SlotRequestCount> SlotRequestCounter::Take() {
  std::vector<Heartbeat::SlotRequestCount> counts;
  counts.reserve(m_counts.size());
  for (const auto& [slot, count] : m_counts)
    counts.push_back({slot, count});
  m_counts.clear();
  return counts;
}

}  // namespace citrongrade
