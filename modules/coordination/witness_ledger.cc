#include "modules/coordination/witness_ledger.h"

#include <algorithm>
#include <cassert>

namespace citrongrade {

namespace {

// Rounded up, so that asking again after it finds the time passed.
std::chrono::milliseconds Remaining(Clock::TimePoint end,
                                    Clock::TimePoint now) {
  if (end <= now) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::ceil<std::chrono::milliseconds>(end - now);
}

}  // namespace

WitnessLedger::WitnessLedger(const CoordinatorSettings& settings,
                             const Safeguards& safeguards,
                             TimePoint started)
    : m_settings(settings), m_safeguards(safeguards), m_started(started) {}

void WitnessLedger::NoteWitnessed(const LeaseKey& lease, TimePoint now) {
  m_leases.try_emplace(lease, Lease{TimePoint::min(), now, false});
}

LeaseReply::Answer WitnessLedger::Grant(const LeaseKey& lease, TimePoint now) {
  if (m_stopped) {
    return LeaseReply::Answer::kWithheld;
  }
  Lease& entry = m_leases[lease];
  // A holder that was paused or cut off wakes and renews while its takeover is
  // on its way to the log: granted again, it would serve beside its successors.
  // Any majority that grants shares a witness with the majority that closed.
  if (entry.closed && m_safeguards.witness_closing) {
    return LeaseReply::Answer::kClosed;
  }
  entry.grant_end = std::max(entry.grant_end, now + WholeLease());
  return LeaseReply::Answer::kGranted;
}

std::optional<std::chrono::milliseconds> WitnessLedger::TimeToClose(
    const LeaseKey& lease,
    TimePoint now) const {
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) {
    return std::nullopt;
  }
  return Remaining(found->second.grant_end, now);
}

void WitnessLedger::Close(const LeaseKey& lease) {
  const auto found = m_leases.find(lease);
  // The caller closes a lease that this witness never heard of.
  assert(found != m_leases.end());
  found->second.closed = true;
}

std::chrono::milliseconds WitnessLedger::TimeToTestifyWithoutMemory(
    TimePoint now) const {
  return Remaining(m_started + WholeLease(), now);
}

WitnessLedger::TimePoint WitnessLedger::LapsesAt(const LeaseKey& lease) const {
  const auto found = m_leases.find(lease);
  if (found == m_leases.end()) {
    return TimePoint::max();
  }
  const Lease& entry = found->second;
  return entry.grant_end == TimePoint::min() ? entry.noted + WholeLease()
                                             : entry.grant_end;
}

void WitnessLedger::OnClockJump(TimePoint now) {
  m_started = now;
  for (auto& [key, lease] : m_leases) {
    if (!lease.closed) {
      lease.grant_end = std::max(lease.grant_end, now + WholeLease());
    }
  }
}

WitnessLedger::TimePoint WitnessLedger::LatestGrantEnd() const {
  TimePoint latest = TimePoint::min();
  for (const auto& [key, lease] : m_leases) {
    latest = std::max(latest, lease.grant_end);
  }
  return latest;
}

void WitnessLedger::Forget(const MemberId& holder) {
  std::erase_if(m_leases, [&holder](const auto& entry) {
    return entry.first.first == holder;
  });
}

void WitnessLedger::Forget(const LeaseKey& lease) {
  m_leases.erase(lease);
}

std::vector<WitnessLedger::LeaseKey> WitnessLedger::Leases() const {
  std::vector<LeaseKey> keys;
  keys.reserve(m_leases.size());
  for (const auto& [key, lease] : m_leases) {
    keys.push_back(key);
  }
  return keys;
}

Clock::Duration WitnessLedger::WholeLease() const {
  return m_settings.lease_duration + m_settings.drift_margin;
}

}  // namespace citrongrade
