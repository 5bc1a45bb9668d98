#pragma once

#include <cstddef>
#include <optional>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Computes how many slots of one target to keep free of long requests, so that
// short ones find a free slot when they arrive.
//
// Load pattern: targets call each other while they run long requests. The calls
// are short and have short deadlines, and each one that fails also fails the
// request that made it. Where long requests take all slots, a call waits until
// one of them ends, which is often too late.
//
// The number of slots is the demand of short requests (arrival rate times mean
// service time) plus its square root, as arrivals vary by about that much. It
// is at most kMaxShare of the target's slots, and zero up to kMinRate.
//
// Call OnArrival() for each short request and OnFinished() for each that has
// run. Thread-confined. TargetAdmission decides which requests are short.
class ShortCallReserve {
 public:
  // Most of a target's slots that are reserved.
  static constexpr double kMaxShare = 0.25;
  // Requests per second up to which no slot is reserved: it would be idle most
  // of the time.
  static constexpr double kMinRate = 1;

  explicit ShortCallReserve(const Clock& clock);

  void OnArrival();
  void OnFinished(Clock::Duration service_time);

  // Slots to keep free of long requests at a target that has `slots`.
  std::size_t ReservedOf(std::size_t slots) const;
  // Arrivals per second, averaged over about a second.
  double Rate() const;
  // Zero until a request has been measured.
  Clock::Duration mean_service_time() const {
    return m_mean_service_time.value_or(Clock::Duration(0));
  }

 private:
  const Clock& m_clock;
  // As of m_rate_updated_at.
  double m_rate = 0;
  Clock::TimePoint m_rate_updated_at;
  std::optional<Clock::Duration> m_mean_service_time;
};

}  // namespace citrongrade
