#include "modules/coordination/load/response_memory.h"

#include <algorithm>
#include <utility>

namespace citrongrade {

ResponseMemory::Reception::Reception(ResponseMemory& memory,
                                     std::function<void()> on_evicted)
    : m_memory(memory), m_on_evicted(std::move(on_evicted)) {
  m_memory.m_receptions.insert(this);
}

ResponseMemory::Reception::~Reception() {
  m_memory.m_receptions.erase(this);
  m_memory.m_used -= m_bytes;
}

bool ResponseMemory::Reception::TryGrowTo(std::uint64_t bytes) {
  if (m_is_evicted)
    return false;
  if (bytes <= m_bytes)
    return true;
  const std::uint64_t added = bytes - m_bytes;
  while (m_memory.m_used + added > m_memory.m_total) {
    Reception* largest = m_memory.FindLargest();
    if (largest == this || largest->m_bytes <= bytes) {
      ++m_memory.m_evicted_count;
      return false;
    }
    m_memory.Evict(*largest);
    largest->m_on_evicted();
  }
  m_memory.m_used += added;
  m_bytes = bytes;
  return true;
}

ResponseMemory::Reception* ResponseMemory::FindLargest() const {
  const auto largest =
      std::max_element(m_receptions.begin(), m_receptions.end(),
                       [](const Reception* a, const Reception* b) {
                         return a->m_bytes < b->m_bytes;
                       });
  return largest == m_receptions.end() ? nullptr : *largest;
}

void ResponseMemory::Evict(Reception& reception) {
  m_receptions.erase(&reception);
  m_used -= std::exchange(reception.m_bytes, 0);
  reception.m_is_evicted = true;
  ++m_evicted_count;
}

}  // namespace citrongrade
