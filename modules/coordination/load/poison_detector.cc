#include "modules/coordination/load/poison_detector.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <unordered_map>
#include <utility>

namespace citrongrade {

namespace {

struct Suspect {
  std::size_t crashes = 0;
  Clock::TimePoint last_crash;
};

}  // namespace

class PoisonDetector::Impl {
 public:
  Impl(const Clock& clock, const Parameters& parameters)
      : m_clock(clock), m_parameters(parameters) {}

  void OnCrash(std::span<const RequestFingerprint> running) {
    // A request that ran several times at once was involved in only one crash.
    // When each run was counted, a single crash quarantined a request that many
    // callers send, for all of them.
    const std::set<RequestFingerprint> distinct(running.begin(), running.end());
    const std::vector<RequestFingerprint> suspects(distinct.begin(),
                                                   distinct.end());
    MergePeerReports(suspects);
    for (const RequestFingerprint fingerprint : suspects) {
      if (m_reports.size() < m_parameters.max_suspects) {
        m_reports.push_back(fingerprint);
      }
    }
  }

  void MergePeerReports(std::span<const RequestFingerprint> reports) {
    for (const RequestFingerprint fingerprint : reports) {
      RemoveExpired();
      CountCrash(fingerprint);
    }
  }

  // The late end of an earlier run does not clear a quarantined request, since
  // crashes of three later runs are known.
  void OnFinished(RequestFingerprint fingerprint) {
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || IsOverThreshold(found->second)) {
      return;
    }
    Erase(found);
  }

  bool IsQuarantined(RequestFingerprint fingerprint) const {
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || !IsOverThreshold(found->second)) {
      return false;
    }
    const Clock::Duration age = m_clock.Now() - found->second.last_crash;
    return age < m_parameters.quarantine_duration;
  }

  std::vector<RequestFingerprint> TakeReports() {
    return std::exchange(m_reports, {});
  }

  std::size_t suspect_count() const { return m_suspects.size(); }

 private:
  using Suspects = std::unordered_map<RequestFingerprint, Suspect>;
  using CrashTimeIndex =
      std::set<std::pair<Clock::TimePoint, RequestFingerprint>>;

  bool IsOverThreshold(const Suspect& suspect) const {
    return suspect.crashes >= m_parameters.crashes_to_quarantine;
  }

  CrashTimeIndex& IndexFor(const Suspect& suspect) {
    return IsOverThreshold(suspect) ? m_quarantined_index
                                    : m_unquarantined_index;
  }

  void CountCrash(RequestFingerprint fingerprint) {
    const auto found = m_suspects.find(fingerprint);
    Suspect suspect;
    if (found != m_suspects.end()) {
      suspect = found->second;
      Erase(found);
    }
    EvictIfFull();
    ++suspect.crashes;
    suspect.last_crash = m_clock.Now();
    IndexFor(suspect).emplace(suspect.last_crash, fingerprint);
    m_suspects.emplace(fingerprint, suspect);
  }

  void EvictIfFull() {
    if (m_suspects.size() <
        std::max<std::size_t>(1, m_parameters.max_suspects)) {
      return;
    }
    const CrashTimeIndex& ages = m_unquarantined_index.empty()
                                     ? m_quarantined_index
                                     : m_unquarantined_index;
    Erase(m_suspects.find(ages.begin()->second));
  }

  void RemoveExpired() {
    RemoveOlderThan(m_unquarantined_index, m_parameters.suspect_retention);
    RemoveOlderThan(m_quarantined_index, m_parameters.quarantine_duration);
  }

  void RemoveOlderThan(CrashTimeIndex& ages, Clock::Duration age) {
    const Clock::TimePoint now = m_clock.Now();
    while (!ages.empty() && now - ages.begin()->first >= age) {
      Erase(m_suspects.find(ages.begin()->second));
    }
  }

  void Erase(Suspects::iterator position) {
    const Suspect suspect = position->second;
    IndexFor(suspect).erase({suspect.last_crash, position->first});
    m_suspects.erase(position);
  }

  const Clock& m_clock;
  const Parameters m_parameters;
  Suspects m_suspects;
  CrashTimeIndex m_unquarantined_index;
  CrashTimeIndex m_quarantined_index;
  std::vector<RequestFingerprint> m_reports;
};

PoisonDetector::PoisonDetector(const Clock& clock, const Parameters& parameters)
    : m_impl(std::make_unique<Impl>(clock, parameters)) {}

PoisonDetector::~PoisonDetector() = default;

void PoisonDetector::OnCrash(std::span<const RequestFingerprint> running) {
  m_impl->OnCrash(running);
}

void PoisonDetector::OnFinished(RequestFingerprint fingerprint) {
  m_impl->OnFinished(fingerprint);
}

bool PoisonDetector::IsQuarantined(RequestFingerprint fingerprint) const {
  return m_impl->IsQuarantined(fingerprint);
}

std::vector<RequestFingerprint> PoisonDetector::TakeReports() {
  return m_impl->TakeReports();
}

void PoisonDetector::MergePeerReports(
    std::span<const RequestFingerprint> reports) {
  m_impl->MergePeerReports(reports);
}

std::size_t PoisonDetector::suspect_count() const {
  return m_impl->suspect_count();
}

}  // namespace citrongrade
