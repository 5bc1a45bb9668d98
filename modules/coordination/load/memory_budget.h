#pragma once

#include <cstdint>

namespace citrongrade {

// Bounds the memory that request bodies take in one process.
//
// Load pattern: several long uploads arrive together at a host with little
// memory. Each is within the size limit, but all of them together exceed the
// memory of the process, which is then killed with all its requests. With the
// budget, a body that has no room is refused before it is read.
//
// Usage: one Reservation for each body, kept until its request has been
// answered. The budget must outlive its reservations. Thread-confined.
class MemoryBudget {
 public:
  // Returns its bytes to the budget when it is destroyed.
  class Reservation {
   public:
    explicit Reservation(MemoryBudget& budget) : m_budget(budget) {}
    ~Reservation() { m_budget.m_used -= m_bytes; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Extends the reservation to `bytes`; it never shrinks. Returns false and
    // changes nothing if the budget has no room.
    bool TryGrowTo(std::uint64_t bytes);

   private:
    MemoryBudget& m_budget;
    std::uint64_t m_bytes = 0;
  };

  explicit MemoryBudget(std::uint64_t bytes) : m_total(bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::uint64_t total() const { return m_total; }
  std::uint64_t used() const { return m_used; }

 private:
  const std::uint64_t m_total;
  std::uint64_t m_used = 0;
};

}  // namespace citrongrade
