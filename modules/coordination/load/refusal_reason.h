#pragma once

#include <string_view>

namespace citrongrade {

// Why a request was turned away before any target saw it.
enum class RefusalReason {
  // The bound on waiting requests is reached and all that wait go first.
  kQueueFull,
  // As kQueueFull, for the bound on the bytes that wait.
  kQueueBytesFull,
  // It would wait longer than work may wait in steady overload.
  kOverloaded,
  // It can't be finished before its deadline.
  kDeadlineTooClose,
  // The target takes no new work.
  kTargetLeaving,
};

constexpr std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kQueueBytesFull:
      return "queue-bytes-full";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kDeadlineTooClose:
      return "deadline-too-close";
    case RefusalReason::kTargetLeaving:
      return "target-leaving";
  }
  return "unknown-reason";
}

}  // namespace citrongrade
