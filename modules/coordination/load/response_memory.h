#pragma once

#include <cstdint>
#include <functional>
#include <set>

namespace citrongrade {

// Bounds the memory that responses take in one process while they are received.
//
// Load pattern: a target answers with bodies that don't end, on many
// connections. Each is within the limit for one response, but all of them
// together exceed the memory of the process, which is then killed. When memory
// runs out, the largest response is ended: short ones to other callers go on.
//
// Usage: one Reception for each response, until it is complete. The object must
// outlive its receptions. Thread-confined. See also MemoryBudget, for requests.
class ResponseMemory {
 public:
  class Reception {
   public:
    // `on_evicted` ends the reception. It is called at most once, while another
    // reception grows, and must not destroy either of them.
    Reception(ResponseMemory& memory, std::function<void()> on_evicted);
    ~Reception();
    Reception(const Reception&) = delete;
    Reception& operator=(const Reception&) = delete;

    // Extends the reception to `bytes`, and evicts larger ones if there is no
    // room. Returns false if it is the largest itself, or has been evicted.
    bool TryGrowTo(std::uint64_t bytes);

   private:
    friend class ResponseMemory;

    ResponseMemory& m_memory;
    const std::function<void()> m_on_evicted;
    std::uint64_t m_bytes = 0;
    bool m_is_evicted = false;
  };

  explicit ResponseMemory(std::uint64_t bytes) : m_total(bytes) {}
  ResponseMemory(const ResponseMemory&) = delete;
  ResponseMemory& operator=(const ResponseMemory&) = delete;

  std::uint64_t total() const { return m_total; }
  std::uint64_t used() const { return m_used; }
  std::uint64_t evicted_count() const { return m_evicted_count; }

 private:
  // Null if nothing is being received.
  Reception* FindLargest() const;
  void Evict(Reception& reception);

  const std::uint64_t m_total;
  std::uint64_t m_used = 0;
  std::uint64_t m_evicted_count = 0;
  // Those that have not been evicted.
  std::set<Reception*> m_receptions;
};

}  // namespace citrongrade
