#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/state/mesh/crash_suspect.h"

namespace citrongrade {

// Detects requests that crash the targets that run them.
//
// Load pattern: a single request crashes each target that runs it, and its
// caller resends it. Without detection every resend takes down one more target,
// and the outcome of all that ran there becomes `unknown`.
//
// When a target crashes, all requests that ran on it become suspects; one crash
// proves nothing against any one of them. A run that ends without a crash
// clears its request of the crashes before. After `crashes_to_quarantine`
// crashes without such an end the request is quarantined for
// `quarantine_duration`. The threshold is three, as innocent requests seldom
// run beside three crashes in a row without ending once in between. Each crash
// after that quarantines it again, for four times as long as the last time, so
// that a caller that never gives up costs ever fewer targets.
//
// A request that many callers send runs on most targets at any moment. When a
// rack or a zone is lost it runs beside many crashes at once, before any end
// could clear it. So the first crash at this node after a recent end of the
// request here does not count against it.
//
// Crashes have ids, so that what several nodes know can be merged repeatedly:
// a crash counts once, and one that was cleared stays cleared. A node sends its
// leader UnreportedChanges() until they are acknowledged as stored; the leader
// merges them into a detector of its own, stores Suspects(), and sends each
// node SharedChanges().
//
// Memory is bounded by `max_suspects`: the suspect with the fewest crashes is
// evicted first, and the one with the oldest crash among these.
//
// Thread-confined.
class PoisonDetector {
 public:
  struct Parameters {
    std::size_t crashes_to_quarantine = 3;
    std::chrono::seconds suspect_retention{600};
    std::chrono::seconds quarantine_duration{600};
    std::chrono::seconds max_quarantine_duration{std::chrono::hours(24)};
    std::size_t max_suspects = 4096;
    // For how long an end counts as recent, and how many are remembered.
    std::chrono::seconds recent_end_window{10};
    std::size_t max_recent_ends = 4096;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  PoisonDetector(const Clock& clock, const Parameters& parameters);
  ~PoisonDetector();
  PoisonDetector(const PoisonDetector&) = delete;
  PoisonDetector& operator=(const PoisonDetector&) = delete;

  // A target crashed while these requests were running on it. A request that is
  // listed several times ran several times at once; it counts once.
  void OnCrash(std::span<const RequestFingerprint> running);

  // A run of the request ended with an answer that is no failure of the target.
  void OnFinished(RequestFingerprint fingerprint);

  bool IsQuarantined(RequestFingerprint fingerprint) const;
  // Time until the request may run again; 0 if it is not quarantined.
  Clock::Duration QuarantineLeft(RequestFingerprint fingerprint) const;
  // Crashes of which the request has not been cleared.
  std::size_t CrashCount(RequestFingerprint fingerprint) const;

  // Adds what another node knows. Returns the requests that are quarantined by
  // it and were not before.
  std::vector<RequestFingerprint> Merge(std::span<const CrashSuspect> suspects);

  // Increases with each change of what is known.
  std::uint64_t version() const;
  // The version that added a crash last.
  std::uint64_t crash_version() const;
  // Everything that is known.
  std::vector<CrashSuspect> Suspects() const;
  // What has changed since `version` about requests that ran beside two crashes
  // or more. The others are left out: no node but the one that saw their only
  // crash needs to know them, and they are the bulk.
  std::vector<CrashSuspect> SharedChanges(std::uint64_t version) const;
  // What OnCrash() and OnFinished() have changed since `version` and
  // AcknowledgeReports() has not covered yet.
  std::vector<CrashSuspect> UnreportedChanges(std::uint64_t version) const;
  // What was unreported at `version` needs not be reported any more.
  void AcknowledgeReports(std::uint64_t version);

  // Done with each crash and merge, too.
  void RemoveExpired();

  std::size_t suspect_count() const;
  std::size_t quarantined_count() const;
  // Suspects evicted for lack of memory.
  std::uint64_t evicted_count() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
