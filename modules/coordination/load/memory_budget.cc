#include "modules/coordination/load/memory_budget.h"

namespace citrongrade {

bool MemoryBudget::Reservation::TryGrowTo(std::uint64_t bytes) {
  if (bytes <= m_bytes)
    return true;
  const std::uint64_t added = bytes - m_bytes;
  if (added > m_budget.m_total - m_budget.m_used)
    return false;
  m_budget.m_used += added;
  m_bytes = bytes;
  return true;
}

}  // namespace citrongrade
