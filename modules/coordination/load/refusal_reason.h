#pragma once

#include <string_view>

namespace citrongrade {

// Why a request was refused before it reached a target.
enum class RefusalReason {
  // The bound on queued requests is reached, and all others in the queue go
  // first.
  kQueueFull,
  // As kQueueFull, for the bound on queued bytes.
  kQueueBytesFull,
  // It would wait longer than requests may wait under steady overload.
  kOverloaded,
  // It can't finish before its deadline.
  kDeadlineTooClose,
  // The target accepts no new requests.
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
