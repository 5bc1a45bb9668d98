#pragma once

#include <map>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"

namespace citrongrade {

// Computes until when a leader may act: as long as more than half of the voters
// have promised it their vote.
//
// A promise counts from a time that the leader knows to be no later than the
// promise itself: the timestamp in the last reply that the voter had received
// when it promised. While a change of the voter set is being stored, a majority
// of both the old and the new voters is needed, so that it does not matter
// whether the change has taken effect.
//
// Not thread-safe. See also VotePromise.
class LeadershipLease {
 public:
  LeadershipLease(const Clock& clock,
                  Clock::Duration promise,
                  Clock::Duration drift,
                  std::string self);

  void SetVoters(std::vector<std::string> voters);
  // Additionally requires a majority of these voters until SetVoters() is
  // called.
  void SetPendingVoters(std::vector<std::string> voters);

  // `earliest`: a time that is no later than the voter's promise.
  void OnPromise(const std::string& voter, Clock::TimePoint earliest);
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
