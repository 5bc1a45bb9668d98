#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"

namespace citrongrade {

// Detects requests that crash the targets that run them.
//
// Load pattern: a single request crashes each target that runs it, and its
// caller resends it. Without detection every resend takes down one more target,
// and the outcome of all that ran there becomes `unknown`.
//
// When a target crashes, all requests that ran on it become suspects; one crash
// proves nothing against any one of them. A run that ends without a crash
// clears its request. After `crashes_to_quarantine` crashes without such an end
// the request is quarantined for `quarantine_duration`. The threshold is three,
// as innocent requests seldom run beside three crashes in a row without ending
// once in between. Both the request's id and its fingerprint are counted, the
// latter to detect a caller that resends under a new id.
//
// Memory is bounded by `max_suspects`: the suspect with the oldest crash is
// evicted first, and a quarantined one only if all are quarantined. To combine
// the crashes that several nodes have seen, send TakeReports() to the peers,
// which call MergePeerReports().
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

  // A target crashed while these requests were running on it. A request that is
  // listed several times ran several times at once; it counts once.
  void OnCrash(std::span<const RequestFingerprint> running);

  // A run of the request ended without a crash.
  void OnFinished(RequestFingerprint fingerprint);

  bool IsQuarantined(RequestFingerprint fingerprint) const;

  // Removes and returns the reports for the peers. Each entry stands for one
  // crash seen here in which the request was a suspect.
  std::vector<RequestFingerprint> TakeReports();
  // Each entry stands for one crash that a peer saw in which the request was a
  // suspect.
  void MergePeerReports(std::span<const RequestFingerprint> reports);

  std::size_t suspect_count() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
