#include "modules/coordination/mesh/lease_length.h"

#include <algorithm>

#include "modules/coordination/mesh/hold_book.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// A run should find so many times the mean work left of the hold: work spreads
// widely, and few runs take longer than that.
constexpr int kWorkInHold = 3;
// Leases change by this much at least: each change is a write of the record.
constexpr milliseconds kStep{100};

// What a lease has lost by the time a run begins, at worst: its age, the age of
// the hold that was granted by it, and the time that the grant may have taken.
milliseconds LostBeforeRun(const MeshTiming& timing) {
  return timing.heartbeat + HoldBook::kRenewal + HoldBook::kCallTimeout;
}

}  // namespace

LeaseLength::LeaseLength(const Clock& clock,
                         const MeshTiming& timing,
                         milliseconds stored)
    : m_clock(clock),
      m_timing(timing),
      m_stored(std::max(stored, timing.lease)),
      m_storing(m_stored),
      m_wanted(m_stored),
      m_wanted_since(clock.Now()) {}

void LeaseLength::OnWork(std::vector<milliseconds> means) {
  if (means.empty())
    return;
  // The median: a few targets that are slow for a while don't lengthen the
  // leases of all.
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  const milliseconds needed = *middle * kWorkInHold + LostBeforeRun(m_timing);
  const milliseconds wanted =
      std::clamp(needed, m_timing.lease, m_timing.longest_lease);
  const bool is_longer = wanted >= m_wanted + kStep;
  const bool is_shorter = wanted + kStep <= m_wanted;
  if (!is_longer && !is_shorter)
    return;
  m_wanted = wanted;
  m_wanted_since = m_clock.Now();
}

milliseconds LeaseLength::ToGrant() const {
  return std::min({m_wanted, m_stored, m_storing});
}

milliseconds LeaseLength::ToStore() const {
  const bool have_longer_ended =
      m_clock.Now() - m_wanted_since > Longest() + m_timing.drift;
  return m_wanted > m_stored || have_longer_ended ? m_wanted : m_stored;
}

}  // namespace citrongrade
