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
    // One that ran several times at once was beside one crash all the same.
    // Counted for each run, a request that many send was quarantined by a
    // single crash, for everybody.
    const std::set<RequestFingerprint> distinct(running.begin(), running.end());
    const std::vector<RequestFingerprint> suspects(distinct.begin(),
                                                   distinct.end());
    Merge(suspects);
    for (const RequestFingerprint mark : suspects) {
      if (m_reports.size() < m_parameters.max_suspects) {
        m_reports.push_back(mark);
      }
    }
  }

  void Merge(std::span<const RequestFingerprint> reports) {
    for (const RequestFingerprint mark : reports) {
      ForgetExpired();
      CountCrash(mark);
    }
  }

  // A late end of an earlier run proves nothing for a request in quarantine:
  // crashes of three later runs are known.
  void OnEnded(RequestFingerprint mark) {
    const auto found = m_suspects.find(mark);
    if (found == m_suspects.end() || IsOverThreshold(found->second)) {
      return;
    }
    Erase(found);
  }

  bool IsQuarantined(RequestFingerprint mark) const {
    const auto found = m_suspects.find(mark);
    if (found == m_suspects.end() || !IsOverThreshold(found->second)) {
      return false;
    }
    const Clock::Duration age = m_clock.Now() - found->second.last_crash;
    return age < m_parameters.quarantine;
  }

  std::vector<RequestFingerprint> TakeReports() {
    return std::exchange(m_reports, {});
  }

  std::size_t suspect_count() const { return m_suspects.size(); }

 private:
  using Suspects = std::unordered_map<RequestFingerprint, Suspect>;
  using ByAge = std::set<std::pair<Clock::TimePoint, RequestFingerprint>>;

  bool IsOverThreshold(const Suspect& suspect) const {
    return suspect.crashes >= m_parameters.crashes_to_quarantine;
  }

  ByAge& AgesOf(const Suspect& suspect) {
    return IsOverThreshold(suspect) ? m_quarantined : m_watched;
  }

  void CountCrash(RequestFingerprint mark) {
    const auto found = m_suspects.find(mark);
    Suspect suspect;
    if (found != m_suspects.end()) {
      suspect = found->second;
      Erase(found);
    }
    MakeRoom();
    ++suspect.crashes;
    suspect.last_crash = m_clock.Now();
    AgesOf(suspect).emplace(suspect.last_crash, mark);
    m_suspects.emplace(mark, suspect);
  }

  void MakeRoom() {
    if (m_suspects.size() <
        std::max<std::size_t>(1, m_parameters.max_suspects)) {
      return;
    }
    const ByAge& ages = m_watched.empty() ? m_quarantined : m_watched;
    Erase(m_suspects.find(ages.begin()->second));
  }

  void ForgetExpired() {
    ForgetOlderThan(m_watched, m_parameters.memory);
    ForgetOlderThan(m_quarantined, m_parameters.quarantine);
  }

  void ForgetOlderThan(ByAge& ages, Clock::Duration age) {
    const Clock::TimePoint now = m_clock.Now();
    while (!ages.empty() && now - ages.begin()->first >= age) {
      Erase(m_suspects.find(ages.begin()->second));
    }
  }

  void Erase(Suspects::iterator position) {
    const Suspect suspect = position->second;
    AgesOf(suspect).erase({suspect.last_crash, position->first});
    m_suspects.erase(position);
  }

  const Clock& m_clock;
  const Parameters m_parameters;
  Suspects m_suspects;
  ByAge m_watched;
  ByAge m_quarantined;
  std::vector<RequestFingerprint> m_reports;
};

PoisonDetector::PoisonDetector(const Clock& clock, const Parameters& parameters)
    : m_impl(std::make_unique<Impl>(clock, parameters)) {}

PoisonDetector::~PoisonDetector() = default;

void PoisonDetector::OnCrash(std::span<const RequestFingerprint> running) {
  m_impl->OnCrash(running);
}

void PoisonDetector::OnEnded(RequestFingerprint mark) {
  m_impl->OnEnded(mark);
}

bool PoisonDetector::IsQuarantined(RequestFingerprint mark) const {
  return m_impl->IsQuarantined(mark);
}

std::vector<RequestFingerprint> PoisonDetector::TakeReports() {
  return m_impl->TakeReports();
}

void PoisonDetector::Merge(std::span<const RequestFingerprint> reports) {
  m_impl->Merge(reports);
}

std::size_t PoisonDetector::suspect_count() const {
  return m_impl->suspect_count();
}

}  // namespace citrongrade
