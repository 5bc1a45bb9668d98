#include "modules/coordination/mesh/crash_reporter.h"

#include <algorithm>

#include "modules/coordination/load/poison_detector.h"

namespace citrongrade {

CrashReport CrashReporter::MakeReport() const {
  CrashReport report;
  report.since = m_received;
  report.version = m_detector.version();
  report.suspects = m_detector.UnreportedChanges(m_received);
  report.ledger_version = m_ledger_version;
  return report;
}

std::vector<RequestFingerprint> CrashReporter::OnReply(
    const CrashReportReply& reply,
    std::uint64_t leader_nonce) {
  if (leader_nonce != m_leader_nonce) {
    m_leader_nonce = leader_nonce;
    m_received = 0;
    m_ledger_version = 0;
  }
  m_received = std::max(m_received, reply.received);
  m_ledger_version = std::max(m_ledger_version, reply.ledger_version);
  m_detector.AcknowledgeReports(reply.stored);
  return m_detector.Merge(reply.suspects);
}

}  // namespace citrongrade
