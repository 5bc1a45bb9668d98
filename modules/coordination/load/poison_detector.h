#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"

namespace citrongrade {

// Finds requests that crash the targets that run them.
//
// Load pattern: a single request crashes each target that runs it, and its
// caller sends it again. Without this every resend takes one more target, and
// all that ran there becomes `unknown`.
//
// When a target crashes, all that ran on it are suspects: one crash proves
// nothing against any one of them. A run that ends clears its request; after
// `crashes_to_quarantine` crashes without such an end it is quarantined for
// `quarantine`. Three, as innocents seldom run beside three crashes in a row
// without ending once in between. Both the request's id and its fingerprint are
// counted: a caller that resends under a new id is caught by the latter.
//
// Memory is bounded by `max_suspects`; the suspect with the oldest crash goes
// first, never one in quarantine while another can go. Across nodes: send
// TakeReports() to the peers, who call Merge().
//
// Thread-confined.
class PoisonDetector {
 public:
  struct Parameters {
    std::size_t crashes_to_quarantine = 3;
    std::chrono::seconds suspect_retention{600};
    std::chrono::seconds quarantine_duration{600};
    std::size_t max_suspects = 4096;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  PoisonDetector(const Clock& clock, const Parameters& parameters);
  ~PoisonDetector();
  PoisonDetector(const PoisonDetector&) = delete;
  PoisonDetector& operator=(const PoisonDetector&) = delete;

  // A target crashed while these ran; one that is named several times ran
  // several times at once.
  void OnCrash(std::span<const RequestFingerprint> running);

  // The request's run ended without a crash.
  void OnFinished(RequestFingerprint mark);

  bool IsQuarantined(RequestFingerprint mark) const;

  // One crash seen here with one suspect in it, for the peers.
  std::vector<RequestFingerprint> TakeReports();
  // A peer saw a crash with each of these in it.
  void MergePeerReports(std::span<const RequestFingerprint> reports);

  std::size_t suspect_count() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
