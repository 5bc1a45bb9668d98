#include "modules/coordination/mesh/departure_tracker.h"

#include <algorithm>

#include "modules/state/mesh/target_incarnation.h"

namespace citrongrade {

namespace {

// Earlier targets of which late reports may still arrive.
constexpr std::size_t kMaxDepartures = 16;

}  // namespace

void DepartureTracker::Add(const TargetIncarnation& incarnation) {
  const DepartedTarget target = DepartedTarget::From(incarnation);
  m_retracted_ids.erase(target.id_hash);
  const bool is_known =
      std::any_of(m_departures.begin(), m_departures.end(),
                  [&](const Departure& one) { return one.target == target; });
  if (is_known)
    return;
  if (m_departures.size() >= kMaxDepartures)
    m_departures.erase(m_departures.begin());
  m_departures.push_back({target, m_clock.Now(), false});
}

void DepartureTracker::Retract(const std::string& target_id) {
  const std::uint64_t id_hash = DepartedTarget::HashId(target_id);
  const std::size_t count = std::erase_if(
      m_departures,
      [&](const Departure& one) { return one.target.id_hash == id_hash; });
  if (count > 0)
    m_retracted_ids.insert(id_hash);
}

void DepartureTracker::OnStored(const std::vector<DepartedTarget>& stored) {
  m_is_loaded = true;
  std::erase_if(m_retracted_ids, [&](std::uint64_t id_hash) {
    return std::none_of(stored.begin(), stored.end(),
                        [&](const DepartedTarget& target) {
                          return target.id_hash == id_hash;
                        });
  });
  for (const DepartedTarget& target : stored) {
    if (m_retracted_ids.contains(target.id_hash))
      continue;
    const auto known = std::find_if(
        m_departures.begin(), m_departures.end(),
        [&](const Departure& one) { return one.target == target; });
    if (known != m_departures.end())
      known->is_stored = true;
    else
      m_departures.push_back({target, std::nullopt, true});
  }
}

void DepartureTracker::OnReply(const DepartureReply& reply) {
  m_known_version = reply.version;
  OnStored(reply.stored);
}

bool DepartureTracker::IsStored(const std::string& target_id) const {
  const std::uint64_t id_hash = DepartedTarget::HashId(target_id);
  return std::any_of(m_departures.begin(), m_departures.end(),
                     [&](const Departure& one) {
                       return one.target.id_hash == id_hash && one.is_stored;
                     });
}

const DepartureTracker::Departure* DepartureTracker::Find(
    const TargetIncarnation& incarnation,
    bool is_startup) const {
  const DepartedTarget target = DepartedTarget::From(incarnation);
  const auto found = std::find_if(
      m_departures.begin(), m_departures.end(), [&](const Departure& one) {
        if (one.target.id_hash != target.id_hash)
          return false;
        // Without start times, only the number of its reports tells a new
        // process from a late report of the earlier one.
        const bool has_start_times =
            one.target.started_unix_ms != 0 && target.started_unix_ms != 0;
        return has_start_times
                   ? one.target.started_unix_ms == target.started_unix_ms
                   : !is_startup;
      });
  return found == m_departures.end() ? nullptr : &*found;
}

DepartureReport DepartureTracker::MakeReport() const {
  DepartureReport report;
  for (const Departure& departure : m_departures) {
    if (!departure.is_stored)
      report.unstored.push_back(departure.target);
  }
  report.retracted_ids.assign(m_retracted_ids.begin(), m_retracted_ids.end());
  report.known_version = m_known_version;
  return report;
}

}  // namespace citrongrade
