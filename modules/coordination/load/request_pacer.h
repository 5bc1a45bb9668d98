#pragma once

#include <compare>
#include <cstddef>
#include <deque>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Paces requests to one rate, and bounds those of any span of a given length.
//
// Requests are paced by a token bucket when they are admitted. What is admitted
// may be sent in a bunch, as connections take time, so the requests of the last
// span are counted again when they are sent. A new pacer has no tokens: an
// earlier process of this node may have just spent them.
//
// Thread-confined.
class RequestPacer {
 public:
  struct Parameters {
    // Requests per second; above zero.
    double rate = 1;
    // Requests that may be admitted at once after a pause.
    double burst = 1;
    // Most requests that may be sent in any span of this length.
    Clock::Duration span{0};
    double max_in_span = 1;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  RequestPacer(const Clock& clock, const Parameters& parameters);

  // Tokens and what was sent stay counted.
  void SetParameters(const Parameters& parameters);

  // Time until a request can be admitted that has `ahead` others before it.
  // Zero if that is now.
  Clock::Duration TimeUntilAdmission(std::size_t ahead) const;
  void OnAdmitted();
  // Whether an admitted request may be sent now.
  bool CanSend() const;
  void OnSent();

 private:
  double TokensAt(Clock::TimePoint now) const;
  Clock::Duration TimeUntilToken(std::size_t ahead) const;
  Clock::Duration TimeUntilSpanHasRoom(std::size_t ahead) const;

  const Clock& m_clock;
  Parameters m_parameters;
  double m_tokens = 0;
  Clock::TimePoint m_counted_at;
  // When the requests of the last span were sent; older ones are dropped when
  // the next one is.
  std::deque<Clock::TimePoint> m_sent;
};

}  // namespace citrongrade
