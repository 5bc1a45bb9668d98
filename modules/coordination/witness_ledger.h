#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/messages/lease_reply.h"
#include "modules/coordination/safeguards.h"
#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// A witness's side of other members' leases: what it granted, and what it
// closed. In memory only: a restarted witness is another member. Pure.
// Kin: LeaseHolder, the holder's side.
class WitnessLedger {
 public:
  using TimePoint = Clock::TimePoint;

  // One holder's lease under one version of its witness set.
  using LeaseKey = std::pair<MemberId, WitnessSetVersion>;

  WitnessLedger(const CoordinatorSettings& settings,
                const Safeguards& safeguards,
                TimePoint started);

  // The log names this member as a witness of the holder.
  void NoteWitnessed(const LeaseKey& lease, TimePoint now);

  LeaseReply::Answer Grant(const LeaseKey& lease, TimePoint now);

  // How long it can't be closed for yet; zero when it can be closed now, or is
  // closed; nothing for a lease that this witness has not heard of.
  std::optional<std::chrono::milliseconds> TimeToClose(const LeaseKey& lease,
                                                       TimePoint now) const;
  // Closes the lease for good. Asserts that TimeToClose() is zero.
  void Close(const LeaseKey& lease);

  // A restarted process may speak for its earlier incarnation: whatever that
  // one granted has run out by now.
  std::chrono::milliseconds TimeToTestifyWithoutMemory(TimePoint now) const;

  // When the lease is to be looked at as lost: the grant's end, or for one
  // that was never granted a whole lease after the log named this witness.
  TimePoint LapsesAt(const LeaseKey& lease) const;

  // The clock jumped: nobody knows how much of the grants is left, so each is
  // taken to start now.
  void OnClockJump(TimePoint now);

  // Grants nothing from now on, since the member is about to leave.
  void StopGranting() { m_stopped = true; }
  TimePoint LatestGrantEnd() const;

  void Forget(const MemberId& holder);
  // A version that the log has left behind never comes back.
  void Forget(const LeaseKey& lease);
  std::vector<LeaseKey> Leases() const;
  std::size_t size() const { return m_leases.size(); }

 private:
  struct Lease {
    TimePoint grant_end = TimePoint::min();
    TimePoint noted = TimePoint::min();
    bool closed = false;
  };

  Clock::Duration WholeLease() const;

  const CoordinatorSettings m_settings;
  const Safeguards m_safeguards;
  TimePoint m_started;
  std::map<LeaseKey, Lease> m_leases;
  bool m_stopped = false;
};

}  // namespace citrongrade
