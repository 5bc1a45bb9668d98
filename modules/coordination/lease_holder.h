#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/messages/lease_reply.h"
#include "modules/coordination/messages/lease_request.h"
#include "modules/state/member_id.h"
#include "modules/state/witness_set.h"

namespace citrongrade {

// A holder's side of its lease: which witnesses granted it, and until when it
// may serve. One lease covers all slots of the member. Pure: it sends nothing.
// Kin: WitnessLedger, the witness's side.
class LeaseHolder {
 public:
  using TimePoint = Clock::TimePoint;

  struct Renewal {
    MemberId witness;
    LeaseRequest request;
  };

  explicit LeaseHolder(const CoordinatorSettings& settings);

  // As the log has them. Counting starts on the confirmed set; it goes to the
  // pending one by ChangeOver() alone.
  void SetWitnessSets(const WitnessSet& confirmed,
                      const std::optional<WitnessSet>& pending,
                      TimePoint now);

  // The requests to send now: one to each witness of both sets, each interval.
  std::vector<Renewal> DueRenewals(TimePoint now);
  void OnReply(const MemberId& witness, const LeaseReply& reply, TimePoint now);

  // Until when a majority of the counted set has granted. TimePoint::max() for
  // an empty set: a mesh of one; TimePoint::min() for no lease.
  TimePoint End() const;
  bool HoldsPendingMajority(TimePoint now) const;

  // From now on the pending set alone counts. Asserts that there is one.
  void ChangeOver();
  bool CountsOnPending() const;
  WitnessSetVersion counted_version() const { return m_counted; }

  // Forgets all grants, also those still on their way: after a pause nobody
  // knows how much of them is left.
  void GiveUp(TimePoint now);

  // It was asked for `witness_silence` and did not answer.
  bool IsSilent(const MemberId& witness,
                WitnessSetVersion version,
                TimePoint now) const;
  // It will never grant this version again.
  bool IsClosed(const MemberId& witness, WitnessSetVersion version) const;
  std::optional<TimePoint> LastGrant(const MemberId& witness) const;

  // For tests of Safeguards::pending_set_majority: grants of earlier sets go on
  // to count.
  void CountEarlierSetsToo() { m_counts_earlier_sets = true; }

 private:
  using GrantKey = std::pair<WitnessSetVersion, MemberId>;

  struct Grant {
    TimePoint end = TimePoint::min();
    TimePoint received = TimePoint::min();
    // Since when it owes an answer; nothing while it owes none.
    std::optional<TimePoint> asked_since;
    bool closed = false;
  };
  struct Sent {
    GrantKey key;
    TimePoint at;
  };

  TimePoint MajorityEnd(const WitnessSet& set) const;
  const WitnessSet* CountedSet() const;
  void AskSet(const WitnessSet& set,
              TimePoint now,
              std::vector<Renewal>& renewals);
  void ForgetOtherVersions();
  void ForgetLateRequests(TimePoint now);

  const CoordinatorSettings m_settings;
  WitnessSet m_confirmed;
  std::optional<WitnessSet> m_pending;
  std::vector<WitnessSet> m_earlier;
  WitnessSetVersion m_counted;
  std::map<GrantKey, Grant> m_grants;
  std::map<std::uint64_t, Sent> m_sent;
  std::uint64_t m_next_sequence = 1;
  TimePoint m_next_renewal = TimePoint::min();
  bool m_counts_earlier_sets = false;
};

}  // namespace citrongrade
