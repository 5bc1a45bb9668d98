#include "modules/coordination/mesh/config_distributor.h"

#include <algorithm>

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// Concurrent transfers from one source. On a weak host's link room has to
// remain for requests; a fit host can carry more.
constexpr unsigned kBaseTransfers = 2;
constexpr unsigned kExtraTransfersForFitHosts = 6;
// A transfer that has not ended after this time is given up by the source and
// the receiver.
constexpr milliseconds kTransferTimeout{1000};
// A node that was assigned a source has to report within this time that it is
// fetching.
constexpr milliseconds kFetchStartTimeout{300};
// How long a node waits for a source in its own zone.
constexpr milliseconds kZoneWait{300};
// A source that failed a node is not assigned to it again for this long.
constexpr milliseconds kFailedSourceBackoff{400};
// A node whose last heartbeat is older is not assigned as a source.
constexpr milliseconds kMaxHeartbeatAge{800};

}  // namespace

ConfigDistributor::ConfigDistributor(const Clock& clock) : m_clock(clock) {}

void ConfigDistributor::OnHeartbeat(const Heartbeat& heartbeat) {
  Node& node = m_nodes[heartbeat.address];
  if (heartbeat.incarnation == node.incarnation &&
      heartbeat.sequence < node.sequence)
    return;
  if (heartbeat.config_version > m_newest)
    OnNewVersion(heartbeat.config_version);
  if (node.version != heartbeat.config_version) {
    EndTransfer(heartbeat.address, node);
    node.failed_source.clear();
    node.behind_since = m_clock.Now();
    m_sources_by_zone[node.zone].erase(heartbeat.address);
  }
  UpdateNode(heartbeat, node);
  if (node.version == m_newest) {
    m_sources_by_zone[node.zone].insert(heartbeat.address);
    return;
  }
  const bool is_idle = !heartbeat.is_fetching_config &&
                       m_clock.Now() - node.assigned_at > kFetchStartTimeout;
  if (heartbeat.config_fetch_failed)
    FailTransfer(heartbeat.address, node);
  else if (is_idle)
    EndTransfer(heartbeat.address, node);
}

void ConfigDistributor::UpdateNode(const Heartbeat& heartbeat, Node& node) {
  node.incarnation = heartbeat.incarnation;
  node.sequence = heartbeat.sequence;
  node.version = heartbeat.config_version;
  node.last_heartbeat = m_clock.Now();
  node.zone = heartbeat.zone;
  node.max_transfers = kBaseTransfers + kExtraTransfersForFitHosts *
                                            heartbeat.leader_fitness_milli /
                                            Heartbeat::kMaxLeaderFitnessMilli;
}

void ConfigDistributor::OnNewVersion(std::uint64_t version) {
  m_newest = version;
  m_sources_by_zone.clear();
  // Transfers in progress deliver an earlier version and still use their
  // source's link, so they stay counted.
  for (auto& [address, node] : m_nodes)
    node.behind_since = m_clock.Now();
}

void ConfigDistributor::EndTransfer(const std::string& address, Node& node) {
  const auto source = m_nodes.find(node.source);
  node.source.clear();
  if (source != m_nodes.end())
    source->second.outgoing_transfers.erase(address);
}

void ConfigDistributor::FailTransfer(const std::string& address, Node& node) {
  if (node.source.empty())
    return;
  node.failed_source = node.source;
  node.failed_at = m_clock.Now();
  EndTransfer(address, node);
}

bool ConfigDistributor::HasRecentHeartbeat(const Node& node) const {
  return m_clock.Now() - node.last_heartbeat < kMaxHeartbeatAge;
}

bool ConfigDistributor::HasCapacity(Node& source) const {
  const Clock::TimePoint now = m_clock.Now();
  std::erase_if(source.outgoing_transfers,
                [now](const auto& entry) { return now >= entry.second; });
  return source.outgoing_transfers.size() < source.max_transfers;
}

bool ConfigDistributor::IsUsableSource(const std::string& source,
                                       const Node& node) const {
  return HasRecentHeartbeat(m_nodes.at(source)) &&
         (source != node.failed_source ||
          m_clock.Now() - node.failed_at > kFailedSourceBackoff);
}

bool ConfigDistributor::ShouldWaitForZone(const Node& node) const {
  const auto sources = m_sources_by_zone.find(node.zone);
  if (sources == m_sources_by_zone.end() ||
      m_clock.Now() - node.behind_since > kZoneWait)
    return false;
  return std::any_of(sources->second.begin(), sources->second.end(),
                     [&](const std::string& address) {
                       return IsUsableSource(address, node);
                     });
}

std::string ConfigDistributor::FindSourceInZone(const std::string& zone,
                                                const Node& node) {
  const auto sources = m_sources_by_zone.find(zone);
  if (sources == m_sources_by_zone.end())
    return {};
  for (const std::string& address : sources->second) {
    if (IsUsableSource(address, node) && HasCapacity(m_nodes.at(address)))
      return address;
  }
  return {};
}

std::string ConfigDistributor::FindSource(const Node& node) {
  std::string source = FindSourceInZone(node.zone, node);
  if (!source.empty() || ShouldWaitForZone(node))
    return source;
  for (const auto& [zone, sources] : m_sources_by_zone) {
    source = FindSourceInZone(zone, node);
    if (!source.empty())
      return source;
  }
  return {};
}

std::string ConfigDistributor::AssignSource(const std::string& address) {
  const auto found = m_nodes.find(address);
  if (found == m_nodes.end() || found->second.version == m_newest)
    return {};
  Node& node = found->second;
  const Clock::TimePoint now = m_clock.Now();
  if (!node.source.empty() && now - node.assigned_at < kTransferTimeout)
    return {};
  FailTransfer(address, node);
  std::string source = FindSource(node);
  if (source.empty())
    return {};
  m_nodes.at(source).outgoing_transfers[address] = now + kTransferTimeout;
  node.source = source;
  node.assigned_at = now;
  return source;
}

}  // namespace citrongrade
