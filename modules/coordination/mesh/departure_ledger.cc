#include "modules/coordination/mesh/departure_ledger.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>

#include "modules/coordination/mesh/heartbeat.h"

namespace citrongrade {

namespace {

// Reports of a target may arrive seconds late, and it may serve for many
// seconds after it has said that it leaves.
constexpr std::chrono::seconds kRetention{60};
// Bounds the stored record: 14 bytes each.
constexpr std::size_t kMaxDepartures = 40;

}  // namespace

DepartureLedger::DepartureLedger(const Clock& clock,
                                 const std::vector<TargetDeparture>& stored)
    : m_clock(clock), m_stored(stored.begin(), stored.end()) {
  for (const TargetDeparture& departure : stored)
    m_current.emplace(departure, clock.Now());
}

void DepartureLedger::OnHeartbeat(const Heartbeat& heartbeat) {
  const DepartureReport& report = heartbeat.departures;
  if (report.retracted_ids.empty() && report.unstored.empty())
    return;
  const std::uint32_t node = TargetDeparture::HashNode(heartbeat.address);
  for (const std::uint64_t id_hash : report.retracted_ids)
    Retract(node, id_hash);
  for (const DepartedTarget& target : report.unstored)
    Add({node, target});
}

void DepartureLedger::Add(const TargetDeparture& departure) {
  if (!m_current.emplace(departure, m_clock.Now()).second)
    return;
  ++m_version;
  if (m_current.size() <= kMaxDepartures)
    return;
  const auto oldest = std::min_element(
      m_current.begin(), m_current.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  spdlog::warn("event=departure-evicted departures={}", m_current.size());
  m_current.erase(oldest);
}

void DepartureLedger::Retract(std::uint32_t node_hash, std::uint64_t id_hash) {
  const std::size_t count = std::erase_if(m_current, [&](const auto& entry) {
    return entry.first.node_hash == node_hash &&
           entry.first.target.id_hash == id_hash;
  });
  if (count > 0)
    ++m_version;
}

void DepartureLedger::RemoveExpired() {
  const Clock::TimePoint now = m_clock.Now();
  std::erase_if(m_current, [now](const auto& entry) {
    return now - entry.second > kRetention;
  });
}

std::uint64_t DepartureLedger::VersionOf(const std::string& node) const {
  const auto version = m_node_versions.find(TargetDeparture::HashNode(node));
  return version == m_node_versions.end() ? 1 : version->second;
}

DepartureReply DepartureLedger::MakeReply(const std::string& node) const {
  DepartureReply reply;
  reply.version = VersionOf(node);
  const bool is_storing = m_pending_version > m_stored_version;
  const std::uint32_t node_hash = TargetDeparture::HashNode(node);
  const TargetDeparture first{node_hash,
                              {0, std::numeric_limits<std::int64_t>::min()}};
  for (auto at = m_stored.lower_bound(first);
       at != m_stored.end() && at->node_hash == node_hash; ++at) {
    // One that is being removed must not count as stored: its target may leave
    // again.
    if (!is_storing || m_pending.contains(*at))
      reply.stored.push_back(at->target);
  }
  return reply;
}

std::vector<TargetDeparture> DepartureLedger::BeginStore() {
  RemoveExpired();
  m_pending.clear();
  for (const auto& [departure, since] : m_current)
    m_pending.insert(departure);
  m_pending_version = m_version;
  return {m_pending.begin(), m_pending.end()};
}

void DepartureLedger::OnStored() {
  std::vector<TargetDeparture> changed;
  std::set_symmetric_difference(m_stored.begin(), m_stored.end(),
                                m_pending.begin(), m_pending.end(),
                                std::back_inserter(changed));
  for (const TargetDeparture& departure : changed)
    m_node_versions[departure.node_hash] = m_pending_version;
  m_stored = m_pending;
  m_stored_version = m_pending_version;
}

}  // namespace citrongrade
