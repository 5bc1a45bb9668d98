#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Decides when a target that refuses connections counts as lost, so that its
// keys may be given to others.
//
// A refused connection shows only that nobody listens: a target that leaves may
// close its listener first and still work on keys that it holds. It counts as
// lost once its process is known to be dead, by the connections that ended with
// it, or once its holds have expired.
//
// Usage: report what happens to connections to the target, and call Review()
// at each refusal and in each tick. Thread-confined; does no I/O. See also
// TargetHoldTracker, which knows the holds.
class TargetLossDetector {
 public:
  enum class Verdict : std::uint8_t {
    // It listens, or may still work or hold keys.
    kNotLost,
    kProcessDied,
    kHoldsExpired,
  };

  // Open connections to the target.
  struct Connections {
    // With a request on its way or at work.
    std::size_t exchanges = 0;
    bool has_idle = false;
  };

  explicit TargetLossDetector(const Clock& clock);

  // What was known concerns an earlier process of the target.
  void BeginIncarnation();

  // Returns false if it was known to refuse.
  bool OnRefused();
  // It listens again, or its process is known to be dead.
  void EndRefusal() { m_refusing_since.reset(); }
  // The target's side ended an open connection.
  void OnConnectionEnded();
  // The same, in the middle of an exchange and not by a timeout.
  void OnExchangeBroken();

  // Since when the target has refused connections; empty if it listens.
  std::optional<Clock::TimePoint> refusing_since() const {
    return m_refusing_since;
  }

  // `held_until`: when its last hold ends.
  Verdict Review(const Connections& open,
                 bool is_leaving,
                 Clock::TimePoint held_until) const;

 private:
  bool HasProcessDied(const Connections& open, bool is_leaving) const;

  const Clock& m_clock;
  std::optional<Clock::TimePoint> m_refusing_since;
  std::optional<Clock::TimePoint> m_connection_ended_at;
  std::optional<Clock::TimePoint> m_exchange_broken_at;
};

}  // namespace citrongrade
