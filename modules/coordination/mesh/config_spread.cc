#include "modules/coordination/mesh/config_spread.h"

#include <algorithm>

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// Transfers from one source at the same time: a weak host's link keeps room for
// requests, a strong one's carries more.
constexpr unsigned kMostTransfers = 2;
constexpr unsigned kMoreForFitHosts = 6;
// A transfer that has not ended by then is given up, at both ends.
constexpr milliseconds kLongestTransfer{1000};
// By then a node that was named a source says that it fetches.
constexpr milliseconds kUntilFetching{300};
// For so long a source of the node's own zone is waited for.
constexpr milliseconds kWaitForZone{300};
// A source that failed a node is not named to it again for so long.
constexpr milliseconds kAvoidFailed{400};
// One that was silent for longer is not named as a source.
constexpr milliseconds kFresh{800};

}  // namespace

ConfigSpread::ConfigSpread(const Clock& clock) : m_clock(clock) {}

void ConfigSpread::OnHeartbeat(const Heartbeat& heartbeat) {
  Node& node = m_nodes[heartbeat.address];
  if (heartbeat.incarnation == node.incarnation &&
      heartbeat.sequence < node.sequence)
    return;
  if (heartbeat.config_version > m_newest)
    BeginVersion(heartbeat.config_version);
  if (node.version != heartbeat.config_version) {
    EndTransfer(heartbeat.address, node);
    node.failed_source.clear();
    node.behind_since = m_clock.Now();
    m_holders[node.zone].erase(heartbeat.address);
  }
  TakeState(heartbeat, node);
  if (node.version == m_newest) {
    m_holders[node.zone].insert(heartbeat.address);
    return;
  }
  const bool is_idle = !heartbeat.is_fetching_config &&
                       m_clock.Now() - node.assigned > kUntilFetching;
  if (heartbeat.config_fetch_failed)
    FailTransfer(heartbeat.address, node);
  else if (is_idle)
    EndTransfer(heartbeat.address, node);
}

void ConfigSpread::TakeState(const Heartbeat& heartbeat, Node& node) {
  node.incarnation = heartbeat.incarnation;
  node.sequence = heartbeat.sequence;
  node.version = heartbeat.config_version;
  node.heard = m_clock.Now();
  node.zone = heartbeat.zone;
  node.most_serving = kMostTransfers + kMoreForFitHosts *
                                           heartbeat.leader_merit_milli /
                                           Heartbeat::kFullMeritMilli;
}

void ConfigSpread::BeginVersion(std::uint64_t version) {
  m_newest = version;
  m_holders.clear();
  // What is under way brings an earlier version, and still takes its source's
  // link.
  for (auto& [address, node] : m_nodes)
    node.behind_since = m_clock.Now();
}

void ConfigSpread::EndTransfer(const std::string& address, Node& node) {
  const auto source = m_nodes.find(node.source);
  node.source.clear();
  if (source != m_nodes.end())
    source->second.serving.erase(address);
}

void ConfigSpread::FailTransfer(const std::string& address, Node& node) {
  if (node.source.empty())
    return;
  node.failed_source = node.source;
  node.failed = m_clock.Now();
  EndTransfer(address, node);
}

bool ConfigSpread::IsFresh(const Node& node) const {
  return m_clock.Now() - node.heard < kFresh;
}

bool ConfigSpread::HasRoom(Node& source) const {
  const Clock::TimePoint now = m_clock.Now();
  std::erase_if(source.serving,
                [now](const auto& entry) { return now >= entry.second; });
  return source.serving.size() < source.most_serving;
}

bool ConfigSpread::MayUse(const std::string& source, const Node& node) const {
  return IsFresh(m_nodes.at(source)) &&
         (source != node.failed_source ||
          m_clock.Now() - node.failed > kAvoidFailed);
}

bool ConfigSpread::WaitsForZone(const Node& node) const {
  const auto holders = m_holders.find(node.zone);
  if (holders == m_holders.end() ||
      m_clock.Now() - node.behind_since > kWaitForZone)
    return false;
  return std::any_of(
      holders->second.begin(), holders->second.end(),
      [&](const std::string& address) { return MayUse(address, node); });
}

std::string ConfigSpread::FindIn(const std::string& zone, const Node& node) {
  const auto holders = m_holders.find(zone);
  if (holders == m_holders.end())
    return {};
  for (const std::string& address : holders->second) {
    if (MayUse(address, node) && HasRoom(m_nodes.at(address)))
      return address;
  }
  return {};
}

std::string ConfigSpread::FindSource(const Node& node) {
  std::string source = FindIn(node.zone, node);
  if (!source.empty() || WaitsForZone(node))
    return source;
  for (const auto& [zone, holders] : m_holders) {
    source = FindIn(zone, node);
    if (!source.empty())
      return source;
  }
  return {};
}

std::string ConfigSpread::AssignSource(const std::string& address) {
  const auto found = m_nodes.find(address);
  if (found == m_nodes.end() || found->second.version == m_newest)
    return {};
  Node& node = found->second;
  const Clock::TimePoint now = m_clock.Now();
  if (!node.source.empty() && now - node.assigned < kLongestTransfer)
    return {};
  FailTransfer(address, node);
  std::string source = FindSource(node);
  if (source.empty())
    return {};
  m_nodes.at(source).serving[address] = now + kLongestTransfer;
  node.source = source;
  node.assigned = now;
  return source;
}

}  // namespace citrongrade
