#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "modules/coordination/clock.h"

namespace citrongrade {

// How long requests of other nodes were held up on their way here.
//
// Load pattern: a link with more to carry than it can. What is sent into it
// arrives a second late, together with the news that its caller has left, and
// is run for nobody; the time left that it names is long over. 59 calls in a
// day reached their target up to a second after their callers had gone.
//
// Clocks of two hosts can't be compared, but the difference of arrival and
// sending, by the two clocks, is least for a request that was not held up. What
// a request has above the least of the last kWindow or two was its delay. A
// sender that was never seen counts as not held up.
//
// How to use it: OnArrived() for each request that bears its sender and the
// sender's time; take the result off the time that is left. Thread-confined.
// Kin: TargetAdmission, which goes by that time.
class TransitDelayEstimator {
 public:
  // Clocks drift apart by a millisecond in it at most, and a path that has
  // become longer for good counts as a delay for two of them at most.
  static constexpr std::chrono::seconds kWindow{5};

  explicit TransitDelayEstimator(const Clock& clock);

  // `sender`: drawn by its process at its start, as its clock may have begun
  // anew with its host. `sent`: by its clock.
  Clock::Duration OnArrived(std::uint64_t sender,
                            std::chrono::nanoseconds sent,
                            Clock::TimePoint arrived);

  std::size_t sender_count() const { return m_senders.size(); }

 private:
  struct Sender {
    Clock::TimePoint window_start;
    // Least difference of arrival and sending in this window and the last.
    std::array<std::chrono::nanoseconds, 2> min_difference;
  };

  void RemoveIdleSenders(Clock::TimePoint now);

  Clock::TimePoint m_last_cleanup;
  std::map<std::uint64_t, Sender> m_senders;
};

}  // namespace citrongrade
