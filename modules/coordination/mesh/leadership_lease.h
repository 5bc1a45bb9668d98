#pragma once

#include <map>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Until when a leader may act: as long as more than half of the voters have
// promised their vote to it.
//
// A promise counts from a moment that the leader knows to lie before it: the
// stamp of the reply that the voter had when it promised. While a change of the
// voters is being stored, more than half of the old and of the new ones are
// needed, so it does not matter whether the change took effect.
//
// Thread-confined. Kin: VotePromise.
class LeadershipLease {
 public:
  LeadershipLease(const Clock& clock,
                  Clock::Duration promise,
                  Clock::Duration drift,
                  std::string self);

  void SetVoters(std::vector<std::string> voters);
  // Until SetVoters(), a majority of these is needed as well.
  void SetPendingVoters(std::vector<std::string> voters);

  // `not_after`: the voter promised then or later.
  void OnPromise(const std::string& voter, Clock::TimePoint not_after);
  void OnPromiseWithdrawn(const std::string& voter);

  Clock::TimePoint ValidUntil() const;
  bool IsValid() const;

 private:
  Clock::TimePoint MajorityValidUntil(
      const std::vector<std::string>& voters) const;

  const Clock& m_clock;
  const Clock::Duration m_promise_validity;
  const std::string m_self;
  std::vector<std::string> m_voters;
  std::vector<std::string> m_pending_voters;
  std::map<std::string, Clock::TimePoint> m_promise_ends;
};

}  // namespace citrongrade
