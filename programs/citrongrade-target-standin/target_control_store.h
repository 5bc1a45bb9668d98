#pragma once

#include <cstdint>
#include <mutex>

#include "programs/citrongrade-target-standin/target_controls.h"

namespace citrongrade {

// The controls in force. Thread-safe.
class TargetControlStore {
 public:
  TargetControls current() const {
    const std::lock_guard lock(m_mutex);
    return m_controls;
  }

  void Set(const TargetControls& controls) {
    const std::lock_guard lock(m_mutex);
    m_controls = controls;
  }

  // Uses up one of a misbehaviour's count: true if there was one.
  bool Take(std::uint64_t TargetControls::*count) {
    const std::lock_guard lock(m_mutex);
    if (m_controls.*count == 0)
      return false;
    --(m_controls.*count);
    return true;
  }

 private:
  mutable std::mutex m_mutex;
  TargetControls m_controls;
};

}  // namespace citrongrade
