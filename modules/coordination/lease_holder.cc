#include "modules/coordination/lease_holder.h"

#include <algorithm>
#include <cassert>
#include <functional>

namespace citrongrade {

LeaseHolder::LeaseHolder(const CoordinatorSettings& settings)
    : m_settings(settings) {}

void LeaseHolder::SetWitnessSets(const WitnessSet& confirmed,
                                 const std::optional<WitnessSet>& pending,
                                 TimePoint now) {
  const auto version_of = [](const std::optional<WitnessSet>& set) {
    return set.has_value() ? set->version : WitnessSetVersion();
  };
  // A version names one set for ever.
  if (confirmed.version == m_confirmed.version &&
      version_of(pending) == version_of(m_pending)) {
    return;
  }
  if (m_counts_earlier_sets && confirmed.version != m_confirmed.version) {
    m_earlier.push_back(m_confirmed);
  }
  m_confirmed = confirmed;
  m_pending = pending;
  const bool counts_on_pending =
      pending.has_value() && m_counted == pending->version;
  if (!counts_on_pending) {
    m_counted = confirmed.version;
  }
  ForgetOtherVersions();
  // A new set is asked at once.
  m_next_renewal = std::min(m_next_renewal, now);
}

std::vector<LeaseHolder::Renewal> LeaseHolder::DueRenewals(TimePoint now) {
  std::vector<Renewal> renewals;
  if (now < m_next_renewal) {
    return renewals;
  }
  m_next_renewal = now + m_settings.renewal_interval;
  ForgetLateRequests(now);
  AskSet(m_confirmed, now, renewals);
  if (m_pending.has_value()) {
    AskSet(*m_pending, now, renewals);
  }
  for (const WitnessSet& set : m_earlier) {
    AskSet(set, now, renewals);
  }
  return renewals;
}

void LeaseHolder::AskSet(const WitnessSet& set,
                         TimePoint now,
                         std::vector<Renewal>& renewals) {
  for (const Witness& witness : set.witnesses) {
    const GrantKey key(set.version, witness.member);
    Grant& grant = m_grants[key];
    if (!grant.asked_since.has_value()) {
      grant.asked_since = now;
    }
    m_sent.emplace(m_next_sequence, Sent{key, now});
    renewals.push_back(
        {witness.member, LeaseRequest{set.version, m_next_sequence}});
    ++m_next_sequence;
  }
}

void LeaseHolder::OnReply(const MemberId& witness,
                          const LeaseReply& reply,
                          TimePoint now) {
  const auto sent = m_sent.find(reply.sequence);
  if (sent == m_sent.end() ||
      sent->second.key != GrantKey(reply.version, witness)) {
    return;
  }
  // Counted from before the request was sent: the witness counts from after it
  // received it, so it never believes the lease over while the holder does not.
  const TimePoint sent_at = sent->second.at;
  m_sent.erase(sent);
  const auto found = m_grants.find(GrantKey(reply.version, witness));
  if (found == m_grants.end()) {
    return;
  }
  Grant& grant = found->second;
  grant.asked_since.reset();
  if (reply.answer != LeaseReply::Answer::kGranted) {
    grant.closed = reply.answer == LeaseReply::Answer::kClosed;
    return;
  }
  grant.end = std::max(grant.end, sent_at + m_settings.lease_duration);
  grant.received = now;
}

LeaseHolder::TimePoint LeaseHolder::End() const {
  const WitnessSet* counted = CountedSet();
  TimePoint end = MajorityEnd(*counted);
  for (const WitnessSet& set : m_earlier) {
    end = std::max(end, MajorityEnd(set));
  }
  return end;
}

bool LeaseHolder::HoldsPendingMajority(TimePoint now) const {
  return m_pending.has_value() && MajorityEnd(*m_pending) > now;
}

void LeaseHolder::ChangeOver() {
  // The caller changes over without a pending set.
  assert(m_pending.has_value());
  m_counted = m_pending->version;
}

bool LeaseHolder::CountsOnPending() const {
  return m_pending.has_value() && m_counted == m_pending->version;
}

void LeaseHolder::GiveUp(TimePoint now) {
  m_sent.clear();
  for (auto& [key, grant] : m_grants) {
    grant.end = TimePoint::min();
    grant.asked_since.reset();
  }
  m_next_renewal = now;
}

bool LeaseHolder::IsSilent(const MemberId& witness,
                           WitnessSetVersion version,
                           TimePoint now) const {
  const auto found = m_grants.find(GrantKey(version, witness));
  if (found == m_grants.end() || !found->second.asked_since.has_value()) {
    return false;
  }
  return now - *found->second.asked_since >= m_settings.witness_silence;
}

bool LeaseHolder::IsClosed(const MemberId& witness,
                           WitnessSetVersion version) const {
  const auto found = m_grants.find(GrantKey(version, witness));
  return found != m_grants.end() && found->second.closed;
}

std::optional<LeaseHolder::TimePoint> LeaseHolder::LastGrant(
    const MemberId& witness) const {
  std::optional<TimePoint> latest;
  for (const auto& [key, grant] : m_grants) {
    if (key.second == witness && grant.received != TimePoint::min()) {
      latest = std::max(latest.value_or(grant.received), grant.received);
    }
  }
  return latest;
}

LeaseHolder::TimePoint LeaseHolder::MajorityEnd(const WitnessSet& set) const {
  if (set.witnesses.empty()) {
    return TimePoint::max();
  }
  std::vector<TimePoint> ends;
  for (const Witness& witness : set.witnesses) {
    const auto found = m_grants.find(GrantKey(set.version, witness.member));
    ends.push_back(found == m_grants.end() ? TimePoint::min()
                                           : found->second.end);
  }
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[set.MajoritySize() - 1];
}

const WitnessSet* LeaseHolder::CountedSet() const {
  return CountsOnPending() ? &*m_pending : &m_confirmed;
}

void LeaseHolder::ForgetOtherVersions() {
  std::erase_if(m_grants, [this](const auto& entry) {
    const WitnessSetVersion version = entry.first.first;
    const bool earlier = std::any_of(
        m_earlier.begin(), m_earlier.end(),
        [version](const WitnessSet& set) { return set.version == version; });
    return version != m_confirmed.version && !earlier &&
           !(m_pending.has_value() && version == m_pending->version);
  });
}

void LeaseHolder::ForgetLateRequests(TimePoint now) {
  std::erase_if(m_sent, [this, now](const auto& entry) {
    return now - entry.second.at >= m_settings.lease_duration;
  });
}

}  // namespace citrongrade
