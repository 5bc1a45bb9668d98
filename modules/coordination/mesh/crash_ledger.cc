#include "modules/coordination/mesh/crash_ledger.h"

#include <spdlog/spdlog.h>

#include "modules/coordination/mesh/heartbeat.h"

namespace citrongrade {

namespace {

// Bounds the stored record: 14 bytes for each request that ran beside one
// crash.
constexpr std::size_t kMaxSuspects = 512;
// A crash is stored at once. What may wait is that requests were cleared of
// crashes, and the ages: the next leader takes them to be as stored.
constexpr std::chrono::seconds kMaxStoredAge{60};

PoisonDetector::Parameters DetectorParameters() {
  PoisonDetector::Parameters parameters;
  parameters.max_suspects = kMaxSuspects;
  return parameters;
}

}  // namespace

CrashLedger::CrashLedger(const Clock& clock,
                         const std::vector<CrashSuspect>& stored)
    : m_clock(clock),
      m_detector(clock, DetectorParameters()),
      m_store_began(clock.Now()) {
  m_detector.Merge(stored);
  m_stored_version = m_detector.version();
}

void CrashLedger::OnHeartbeat(const Heartbeat& heartbeat) {
  const CrashReport& report = heartbeat.crash_report;
  Node& node = m_nodes[heartbeat.address];
  if (node.incarnation != heartbeat.incarnation) {
    node = Node();
    node.incarnation = heartbeat.incarnation;
  }
  if (!report.suspects.empty())
    Merge(report.suspects);
  // A node that has changed its leader leaves out what the last one received,
  // until this leader's first reply.
  if (report.since > node.received || report.version <= node.received)
    return;
  node.received = report.version;
  const std::uint64_t ledger = m_detector.version();
  if (!node.unstored.empty() && node.unstored.back().ledger == ledger)
    node.unstored.back().reported = report.version;
  else if (ledger > m_stored_version)
    node.unstored.push_back({report.version, ledger});
  else
    node.stored = report.version;
}

void CrashLedger::Merge(const std::vector<CrashSuspect>& reported) {
  const std::uint64_t evicted_before = evicted_count();
  m_detector.Merge(reported);
  if (evicted_count() == evicted_before)
    return;
  spdlog::warn(
      "event=crash-suspects-evicted evicted={} suspects={} reported={}",
      evicted_count() - evicted_before, m_detector.suspect_count(),
      reported.size());
}

CrashReportReply CrashLedger::MakeReply(const Heartbeat& heartbeat,
                                        bool is_own_version) const {
  CrashReportReply reply;
  const std::uint64_t known =
      is_own_version ? heartbeat.crash_report.ledger_version : 0;
  reply.suspects = m_detector.SharedChanges(known);
  reply.ledger_version = m_detector.version();
  const auto node = m_nodes.find(heartbeat.address);
  if (node == m_nodes.end() ||
      node->second.incarnation != heartbeat.incarnation)
    return reply;
  reply.received = node->second.received;
  reply.stored = node->second.stored;
  return reply;
}

bool CrashLedger::NeedsStore() const {
  if (m_detector.crash_version() > m_stored_version)
    return true;
  return m_detector.suspect_count() > 0 &&
         m_clock.Now() - m_store_began > kMaxStoredAge;
}

std::vector<CrashSuspect> CrashLedger::BeginStore() {
  m_store_began = m_clock.Now();
  m_detector.RemoveExpired();
  m_pending_version = m_detector.version();
  return m_detector.Suspects();
}

void CrashLedger::OnStored() {
  m_stored_version = m_pending_version;
  for (auto& [address, node] : m_nodes) {
    while (!node.unstored.empty() &&
           node.unstored.front().ledger <= m_stored_version) {
      node.stored = node.unstored.front().reported;
      node.unstored.pop_front();
    }
  }
}

}  // namespace citrongrade
