#include "modules/coordination/load/poison_detector.h"

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>

namespace citrongrade {

namespace {

using Crash = CrashSuspect::Crash;

// A request that many callers send runs beside every crash of its targets, and
// is cleared of each. Beyond this number the cleared ones are forgotten.
constexpr std::size_t kMaxCrashesPerSuspect = 32;
// A request that ran beside fewer crashes concerns one node alone.
constexpr std::size_t kMinSharedCrashes = 2;
constexpr int kQuarantineGrowth = 4;

struct Suspect {
  // In the order of their ids.
  std::vector<Crash> crashes;
  Clock::TimePoint last_crash;
  // Of the last change.
  std::uint64_t version = 0;
  // Of the last change that was made here; 0: it has been reported.
  std::uint64_t unreported_version = 0;

  std::size_t ActiveCrashes() const {
    return static_cast<std::size_t>(
        std::count_if(crashes.begin(), crashes.end(),
                      [](const Crash& crash) { return !crash.is_cleared; }));
  }

  // Returns whether that has changed anything.
  bool Add(const Crash& crash) {
    const auto position = std::lower_bound(
        crashes.begin(), crashes.end(), crash.id,
        [](const Crash& one, std::uint64_t id) { return one.id < id; });
    if (position == crashes.end() || position->id != crash.id) {
      crashes.insert(position, crash);
      return true;
    }
    if (position->is_cleared || !crash.is_cleared)
      return false;
    position->is_cleared = true;
    return true;
  }

  void ForgetSurplus() {
    while (crashes.size() > kMaxCrashesPerSuspect) {
      const auto cleared =
          std::find_if(crashes.begin(), crashes.end(),
                       [](const Crash& crash) { return crash.is_cleared; });
      crashes.erase(cleared == crashes.end() ? crashes.begin() : cleared);
    }
  }
};

}  // namespace

class PoisonDetector::Impl {
 public:
  Impl(const Clock& clock, const Parameters& parameters)
      : m_clock(clock),
        m_parameters(parameters),
        m_random(std::random_device()()) {}

  void OnCrash(std::span<const RequestFingerprint> running) {
    RemoveExpired();
    // A request that ran several times at once was involved in only one crash.
    // When each run was counted, a single crash quarantined a request that many
    // callers send, for all of them.
    const std::set<RequestFingerprint> distinct(running.begin(), running.end());
    const Crash crash{m_random(), false};
    for (const RequestFingerprint fingerprint : distinct) {
      if (TakeRecentEnd(fingerprint))
        continue;
      Suspect& suspect = FindOrAdd(fingerprint);
      suspect.Add(crash);
      suspect.ForgetSurplus();
      suspect.last_crash = m_clock.Now();
      OnChangedHere(suspect);
    }
    m_crash_version = m_version;
  }

  // The late end of an earlier run does not clear a quarantined request, since
  // crashes of three later runs are known.
  void OnFinished(RequestFingerprint fingerprint) {
    const auto found = m_suspects.find(fingerprint);
    const std::size_t active =
        found == m_suspects.end() ? 0 : found->second.ActiveCrashes();
    if (active >= m_parameters.crashes_to_quarantine)
      return;
    RememberEnd(fingerprint);
    if (active == 0)
      return;
    Suspect& suspect = found->second;
    for (Crash& crash : suspect.crashes)
      crash.is_cleared = true;
    OnChangedHere(suspect);
  }

  Clock::Duration QuarantineLeft(RequestFingerprint fingerprint) const {
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || !IsOverThreshold(found->second))
      return Clock::Duration::zero();
    const Clock::TimePoint end =
        found->second.last_crash + QuarantineDuration(found->second);
    return std::max(Clock::Duration::zero(), end - m_clock.Now());
  }

  std::size_t CrashCount(RequestFingerprint fingerprint) const {
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? 0 : found->second.ActiveCrashes();
  }

  std::vector<RequestFingerprint> Merge(
      std::span<const CrashSuspect> suspects) {
    RemoveExpired();
    std::vector<RequestFingerprint> quarantined;
    for (const CrashSuspect& other : suspects) {
      if (other.crashes.empty())
        continue;
      const RequestFingerprint fingerprint(other.fingerprint);
      const bool was_quarantined = IsQuarantined(fingerprint);
      MergeOne(other, FindOrAdd(fingerprint));
      if (!was_quarantined && IsQuarantined(fingerprint))
        quarantined.push_back(fingerprint);
    }
    return quarantined;
  }

  bool IsQuarantined(RequestFingerprint fingerprint) const {
    return QuarantineLeft(fingerprint) > Clock::Duration::zero();
  }

  std::uint64_t version() const { return m_version; }
  std::uint64_t crash_version() const { return m_crash_version; }

  // Those for which `is_wanted` is true.
  template <typename Predicate>
  std::vector<CrashSuspect> Select(const Predicate& is_wanted) const {
    std::vector<CrashSuspect> selected;
    for (const auto& [fingerprint, suspect] : m_suspects) {
      if (!is_wanted(suspect))
        continue;
      const auto age = std::chrono::floor<std::chrono::seconds>(
          m_clock.Now() - suspect.last_crash);
      selected.push_back({fingerprint.value(), suspect.crashes, age});
    }
    return selected;
  }

  void AcknowledgeReports(std::uint64_t version) {
    for (auto& [fingerprint, suspect] : m_suspects) {
      if (suspect.unreported_version <= version)
        suspect.unreported_version = 0;
    }
  }

  void RemoveExpired() {
    const Clock::TimePoint now = m_clock.Now();
    std::erase_if(m_suspects, [this, now](const auto& entry) {
      return now - entry.second.last_crash >= Retention(entry.second);
    });
  }

  std::size_t suspect_count() const { return m_suspects.size(); }

  std::size_t quarantined_count() const {
    return static_cast<std::size_t>(std::count_if(
        m_suspects.begin(), m_suspects.end(),
        [this](const auto& entry) { return IsOverThreshold(entry.second); }));
  }

  std::uint64_t evicted_count() const { return m_evicted_count; }

 private:
  using Suspects = std::unordered_map<RequestFingerprint, Suspect>;

  bool IsOverThreshold(const Suspect& suspect) const {
    return suspect.ActiveCrashes() >= m_parameters.crashes_to_quarantine;
  }

  struct RecentEnd {
    RequestFingerprint fingerprint;
    Clock::TimePoint when;
  };

  void RememberEnd(RequestFingerprint fingerprint) {
    const Clock::TimePoint now = m_clock.Now();
    while (
        !m_recent_ends.empty() &&
        (m_recent_ends.size() >= m_parameters.max_recent_ends ||
         now - m_recent_ends.front().when >= m_parameters.recent_end_window)) {
      const RecentEnd& oldest = m_recent_ends.front();
      const auto last = m_last_ends.find(oldest.fingerprint);
      if (last != m_last_ends.end() && last->second == oldest.when)
        m_last_ends.erase(last);
      m_recent_ends.pop_front();
    }
    m_recent_ends.push_back({fingerprint, now});
    m_last_ends[fingerprint] = now;
  }

  // Returns whether the request has ended here recently, and forgets that.
  bool TakeRecentEnd(RequestFingerprint fingerprint) {
    const auto last = m_last_ends.find(fingerprint);
    if (last == m_last_ends.end())
      return false;
    const Clock::Duration age = m_clock.Now() - last->second;
    m_last_ends.erase(last);
    return age < m_parameters.recent_end_window;
  }

  Clock::Duration QuarantineDuration(const Suspect& suspect) const {
    std::chrono::seconds duration = m_parameters.quarantine_duration;
    for (std::size_t crashes = m_parameters.crashes_to_quarantine;
         crashes < suspect.ActiveCrashes() &&
         duration < m_parameters.max_quarantine_duration;
         ++crashes)
      duration *= kQuarantineGrowth;
    return std::min(duration, m_parameters.max_quarantine_duration);
  }

  // A request that was quarantined is remembered for as long again: its next
  // crash must not count as its first.
  Clock::Duration Retention(const Suspect& suspect) const {
    return IsOverThreshold(suspect)
               ? 2 * QuarantineDuration(suspect)
               : Clock::Duration(m_parameters.suspect_retention);
  }

  void OnChangedHere(Suspect& suspect) {
    suspect.version = ++m_version;
    suspect.unreported_version = m_version;
  }

  void MergeOne(const CrashSuspect& other, Suspect& suspect) {
    const std::size_t known = suspect.crashes.size();
    bool has_changed = false;
    for (const Crash& crash : other.crashes)
      has_changed |= suspect.Add(crash);
    if (!has_changed)
      return;
    const bool has_new_crash = suspect.crashes.size() > known;
    suspect.ForgetSurplus();
    suspect.last_crash =
        std::max(suspect.last_crash, m_clock.Now() - other.age);
    suspect.version = ++m_version;
    if (has_new_crash)
      m_crash_version = m_version;
  }

  Suspect& FindOrAdd(RequestFingerprint fingerprint) {
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end())
      return found->second;
    EvictIfFull();
    return m_suspects[fingerprint];
  }

  void EvictIfFull() {
    if (m_suspects.size() <
        std::max<std::size_t>(1, m_parameters.max_suspects)) {
      return;
    }
    const auto rank = [](const auto& entry) {
      return std::tuple(entry.second.ActiveCrashes(), entry.second.last_crash);
    };
    m_suspects.erase(std::min_element(
        m_suspects.begin(), m_suspects.end(),
        [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); }));
    ++m_evicted_count;
  }

  const Clock& m_clock;
  const Parameters m_parameters;
  std::mt19937_64 m_random;
  Suspects m_suspects;
  // Oldest first.
  std::deque<RecentEnd> m_recent_ends;
  std::unordered_map<RequestFingerprint, Clock::TimePoint> m_last_ends;
  std::uint64_t m_version = 0;
  std::uint64_t m_crash_version = 0;
  std::uint64_t m_evicted_count = 0;
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

Clock::Duration PoisonDetector::QuarantineLeft(
    RequestFingerprint fingerprint) const {
  return m_impl->QuarantineLeft(fingerprint);
}

std::size_t PoisonDetector::CrashCount(RequestFingerprint fingerprint) const {
  return m_impl->CrashCount(fingerprint);
}

std::vector<RequestFingerprint> PoisonDetector::Merge(
    std::span<const CrashSuspect> suspects) {
  return m_impl->Merge(suspects);
}

std::uint64_t PoisonDetector::version() const {
  return m_impl->version();
}

std::uint64_t PoisonDetector::crash_version() const {
  return m_impl->crash_version();
}

std::vector<CrashSuspect> PoisonDetector::Suspects() const {
  return m_impl->Select([](const Suspect&) { return true; });
}

std::vector<CrashSuspect> PoisonDetector::SharedChanges(
    std::uint64_t version) const {
  return m_impl->Select([version](const Suspect& suspect) {
    return suspect.version > version &&
           suspect.crashes.size() >= kMinSharedCrashes;
  });
}

std::vector<CrashSuspect> PoisonDetector::UnreportedChanges(
    std::uint64_t version) const {
  return m_impl->Select([version](const Suspect& suspect) {
    return suspect.unreported_version > version;
  });
}

void PoisonDetector::AcknowledgeReports(std::uint64_t version) {
  m_impl->AcknowledgeReports(version);
}

void PoisonDetector::RemoveExpired() {
  m_impl->RemoveExpired();
}

std::size_t PoisonDetector::suspect_count() const {
  return m_impl->suspect_count();
}

std::size_t PoisonDetector::quarantined_count() const {
  return m_impl->quarantined_count();
}

std::uint64_t PoisonDetector::evicted_count() const {
  return m_impl->evicted_count();
}

}  // namespace citrongrade
