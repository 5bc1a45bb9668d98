#include "modules/coordination/mesh/config_spread.h"

#include <algorithm>

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// Transfers from one source at the same time: a weak host's link keeps room for
// requests, a strong one's carries more.
constexpr unsigned kMostTransfers = 2;
constexpr unsigned kMoreForFitHosts = 6;
constexpr unsigned kFullMerit = 1000;
// A node that did not report by then is given a source again.
constexpr milliseconds kLongestTransfer{1000};
// One that was silent for longer is not named as a source.
constexpr milliseconds kFresh{800};

}  // namespace

ConfigSpread::ConfigSpread(const Clock& clock) : m_clock(clock) {}

void ConfigSpread::OnHeartbeat(const Heartbeat& heartbeat) {
  if (heartbeat.config_version > m_newest)
    BeginVersion(heartbeat.config_version);
  Node& node = m_nodes[heartbeat.address];
  node.heard = m_clock.Now();
  node.zone = heartbeat.zone;
  node.most_serving = kMostTransfers + kMoreForFitHosts *
                                           heartbeat.leader_merit_milli /
                                           kFullMerit;
  if (node.version == m_newest && heartbeat.config_version != m_newest)
    Withdraw(heartbeat.address, node);
  node.version = heartbeat.config_version;
  if (heartbeat.config_fetch_failed && !node.source.empty()) {
    node.failed_source = node.source;
    EndTransfer(node);
  }
  if (node.version != m_newest)
    return;
  EndTransfer(node);
  node.failed_source.clear();
  m_holders[node.zone].insert(heartbeat.address);
  OfferIfFree(heartbeat.address, node);
}

void ConfigSpread::BeginVersion(std::uint64_t version) {
  m_newest = version;
  m_holders.clear();
  m_free.clear();
  // What is under way brings an earlier version, and still takes its source's
  // link.
}

void ConfigSpread::EndTransfer(Node& node) {
  if (node.source.empty())
    return;
  const auto source = m_nodes.find(node.source);
  node.source.clear();
  if (source == m_nodes.end() || source->second.serving == 0)
    return;
  --source->second.serving;
  OfferIfFree(source->first, source->second);
}

void ConfigSpread::Withdraw(const std::string& address, const Node& node) {
  m_holders[node.zone].erase(address);
  m_free[node.zone].erase(address);
}

bool ConfigSpread::HasHolder(const std::string& zone) const {
  const auto found = m_holders.find(zone);
  if (found == m_holders.end())
    return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [this](const std::string& address) {
                       return IsFresh(m_nodes.at(address));
                     });
}

bool ConfigSpread::IsFresh(const Node& node) const {
  return m_clock.Now() - node.heard < kFresh;
}

void ConfigSpread::OfferIfFree(const std::string& address, const Node& node) {
  if (node.version == m_newest && node.serving < node.most_serving)
    m_free[node.zone].insert(address);
}

std::string ConfigSpread::FindIn(const Addresses& free,
                                 const Node& node) const {
  for (const std::string& address : free) {
    const auto found = m_nodes.find(address);
    if (address != node.failed_source && IsFresh(found->second))
      return address;
  }
  return {};
}

std::string ConfigSpread::FindSource(const Node& node) const {
  const auto own = m_free.find(node.zone);
  if (own != m_free.end()) {
    std::string source = FindIn(own->second, node);
    if (!source.empty())
      return source;
  }
  if (node.failed_source.empty() && HasHolder(node.zone))
    return {};
  for (const auto& [zone, free] : m_free) {
    std::string source = FindIn(free, node);
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
  if (!node.source.empty()) {
    if (m_clock.Now() - node.assigned < kLongestTransfer)
      return {};
    node.failed_source = node.source;
    EndTransfer(node);
  }
  std::string source = FindSource(node);
  if (source.empty())
    return {};
  Node& giver = m_nodes.at(source);
  ++giver.serving;
  if (giver.serving >= giver.most_serving)
    m_free[giver.zone].erase(source);
  node.source = source;
  node.assigned = m_clock.Now();
  return source;
}

}  // namespace citrongrade
