#pragma once

#include <cstdint>
#include <vector>

#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/mesh/crash_report.h"
#include "modules/coordination/mesh/crash_report_reply.h"

namespace citrongrade {

class PoisonDetector;

// A node's part in sharing what is known of requests that crash targets: fills
// the reports in its heartbeats and merges the leader's replies.
//
// A crash is reported until the leader says that it is stored, and again in
// full to each new leader, so that neither a lost heartbeat nor the loss of a
// leader makes the mesh forget it. Thread-confined. See also CrashLedger, the
// leader's part.
class CrashReporter {
 public:
  explicit CrashReporter(PoisonDetector& detector) : m_detector(detector) {}

  CrashReport MakeReport() const;
  // `leader_nonce`: identifies the leader's process and term. Returns the
  // requests that are quarantined from now on and were not before.
  std::vector<RequestFingerprint> OnReply(const CrashReportReply& reply,
                                          std::uint64_t leader_nonce);

 private:
  PoisonDetector& m_detector;
  std::uint64_t m_leader_nonce = 0;
  // Version of this node's reports that this leader has received.
  std::uint64_t m_received = 0;
  // Version of this leader's knowledge that has been merged here.
  std::uint64_t m_ledger_version = 0;
};

}  // namespace citrongrade
