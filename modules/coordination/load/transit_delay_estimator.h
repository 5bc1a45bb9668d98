#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Estimates how long requests from other nodes were delayed on the network.
//
// On a link whose capacity is exceeded, a request arrives up to a second late,
// together with the news that its caller has given up. The time left that it
// names has long passed, and running it would be of no use. In one day 59 calls
// reached their target up to a second after their callers had given up.
//
// The clocks of two hosts can't be compared, but the difference between arrival
// time and send time, each by its own clock, is smallest for a request that
// wasn't delayed. The delay of a request is its difference minus the smallest
// one of the last one to two windows of kWindow. The first request of an
// unknown sender counts as not delayed.
//
// Usage: call OnArrived() for each request that names its sender and its send
// time, and subtract the result from the time left. Thread-confined.
//
// See also TargetAdmission, which uses the time left.
class TransitDelayEstimator {
 public:
  // Clocks drift apart by at most a millisecond in one window, and a path that
  // has become longer for good counts as a delay for at most two windows.
  static constexpr std::chrono::seconds kWindow{5};

  explicit TransitDelayEstimator(const Clock& clock);

  // `sender`: random number that the sending process draws when it starts,
  // because its clock may restart with its host. `sent`: send time by that
  // clock.
  Clock::Duration OnArrived(std::uint64_t sender,
                            std::chrono::nanoseconds sent,
                            Clock::TimePoint arrived);

  std::size_t sender_count() const { return m_senders.size(); }

 private:
  struct Sender {
    Clock::TimePoint window_start;
    // Smallest difference between arrival and send time in the current and the
    // previous window.
    std::array<std::chrono::nanoseconds, 2> min_difference;
  };

  void RemoveIdleSenders(Clock::TimePoint now);

  Clock::TimePoint m_last_cleanup;
  std::map<std::uint64_t, Sender> m_senders;
};

}  // namespace citrongrade
