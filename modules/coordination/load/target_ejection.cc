#include "modules/coordination/load/target_ejection.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "modules/coordination/load/load_errors.h"

namespace citrongrade {

namespace {

namespace acc = boost::accumulators;

using MeanLatency =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>>;

constexpr double kMaxFailureShare = 0.5;

// A window without enough samples is extended to at most this many times its
// length.
constexpr int kMaxWindowExtension = 10;

// A backoff is extended at random by up to this share, so that several nodes
// don't probe a weak target at the same moment.
constexpr double kBackoffJitter = 0.25;

// A target is stalled if it has answered nothing for at least this long, and
// for at least twice the latency that counts as slow.
constexpr std::chrono::milliseconds kMinStall(1000);

double ToSeconds(Clock::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

struct Window {
  MeanLatency latency;
  // How many of the requests in `latency` failed.
  std::size_t failures = 0;
  // Refused requests, which aren't part of `latency`.
  std::size_t refusals = 0;
  Clock::TimePoint start;

  std::size_t runs() const { return acc::count(latency); }
  std::size_t samples() const { return runs() + refusals; }
  double FailureShare() const {
    return samples() == 0 ? 0
                          : static_cast<double>(failures + refusals) /
                                static_cast<double>(samples());
  }
};

struct Entry {
  TargetEjection::State state = TargetEjection::State::kServing;
  bool leaving = false;
  Clock::TimePoint announced_at;
  Clock::TimePoint cold_until;
  Window window;
  std::size_t consecutive_failures = 0;
  std::size_t outstanding = 0;
  // Start of the time without any answer to the outstanding requests.
  Clock::TimePoint unanswered_since;
  Clock::TimePoint backoff_until;
  std::size_t consecutive_ejections = 0;
  std::size_t successful_probes = 0;
  bool probe_in_flight = false;
};

}  // namespace

class TargetEjection::Impl {
 public:
  Impl(const Clock& clock,
       std::mt19937_64& random,
       const Parameters& parameters)
      : m_clock(clock), m_random(random), m_parameters(parameters) {}

  void OnAnnounced(const TargetId& id, bool leaving) {
    Entry& entry = m_entries[id];
    entry.announced_at = m_clock.Now();
    entry.leaving = entry.leaving || leaving;
  }

  void RemoveTarget(const TargetId& id) { m_entries.erase(id); }

  void MarkCold(const TargetId& id) {
    GetEntry(id).cold_until = m_clock.Now() + m_parameters.warm_up;
  }

  void OnSent(const TargetId& id) {
    Entry& entry = GetEntry(id);
    if (entry.outstanding == 0) {
      entry.unanswered_since = m_clock.Now();
    }
    ++entry.outstanding;
    entry.probe_in_flight = entry.state == State::kProbing;
  }

  void OnFinished(const TargetId& id,
                  TargetCallOutcome outcome,
                  Clock::Duration latency) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      return;
    }
    Entry& entry = found->second;
    RecordCompletion(entry, outcome);
    if (outcome == TargetCallOutcome::kPaced) {
      entry.probe_in_flight = false;
      return;
    }
    if (entry.state == State::kProbing) {
      OnProbeFinished(entry, outcome, latency);
      return;
    }
    if (entry.state == State::kServing) {
      RecordSample(entry, outcome, latency);
    }
  }

  void Poll() {
    StartProbing();
    EjectOutliers();
    CloseWindows();
  }

  bool IsEligible(const TargetId& id) const {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      return false;
    }
    const State state = StateOf(found->second);
    if (state == State::kProbing) {
      return !found->second.probe_in_flight;
    }
    return state == State::kServing;
  }

  State StateOf(const TargetId& id) const {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      throw UnknownTargetError(id);
    }
    return StateOf(found->second);
  }

 private:
  State StateOf(const Entry& entry) const {
    if (entry.leaving) {
      return State::kLeaving;
    }
    const Clock::Duration since_announced = m_clock.Now() - entry.announced_at;
    if (since_announced >= m_parameters.announcement_timeout) {
      return State::kExpired;
    }
    return entry.state;
  }

  Entry& GetEntry(const TargetId& id) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      throw UnknownTargetError(id);
    }
    return found->second;
  }

  void RecordCompletion(Entry& entry, TargetCallOutcome outcome) {
    if (entry.outstanding > 0) {
      --entry.outstanding;
    }
    if (outcome != TargetCallOutcome::kUnknown) {
      entry.unanswered_since = m_clock.Now();
    }
  }

  static void RecordSample(Entry& entry,
                           TargetCallOutcome outcome,
                           Clock::Duration latency) {
    if (outcome == TargetCallOutcome::kNotRun) {
      ++entry.window.refusals;
      return;
    }
    entry.window.latency(ToSeconds(latency));
    if (outcome == TargetCallOutcome::kDone) {
      entry.consecutive_failures = 0;
      return;
    }
    ++entry.window.failures;
    ++entry.consecutive_failures;
  }

  // Requests sent before the ejection may end while the target is probing. A
  // successful one counts as a probe, because it proves as much. A refusal ends
  // probing like a failure: a refused probe is over at once, so the next one
  // would follow at once, and all requests would be sent that way.
  void OnProbeFinished(Entry& entry,
                       TargetCallOutcome outcome,
                       Clock::Duration latency) {
    entry.probe_in_flight = false;
    const bool is_slow = !IsCold(entry) && IsSlow(ToSeconds(latency));
    if (outcome != TargetCallOutcome::kDone || is_slow) {
      Eject(entry);
      return;
    }
    ++entry.successful_probes;
    if (entry.successful_probes >= kProbesToReinstate) {
      Reinstate(entry);
    }
  }

  bool IsCold(const Entry& entry) const {
    return m_clock.Now() < entry.cold_until;
  }

  bool IsSlow(double seconds) const {
    return m_median && seconds > m_parameters.max_latency_ratio * *m_median;
  }

  static void Reinstate(Entry& entry) {
    entry.state = State::kServing;
    entry.window = Window();
    entry.consecutive_failures = 0;
    entry.consecutive_ejections = 0;
  }

  void Eject(Entry& entry) {
    entry.state = State::kEjected;
    entry.successful_probes = 0;
    entry.probe_in_flight = false;
    entry.backoff_until =
        m_clock.Now() + NextBackoff(entry.consecutive_ejections);
    ++entry.consecutive_ejections;
  }

  Clock::Duration NextBackoff(std::size_t ejections_before) {
    Clock::Duration backoff = m_parameters.initial_backoff;
    for (std::size_t i = 0; i < ejections_before; ++i) {
      backoff =
          std::min<Clock::Duration>(2 * backoff, m_parameters.max_backoff);
    }
    std::uniform_real_distribution<double> stretch(1, 1 + kBackoffJitter);
    return std::chrono::duration_cast<Clock::Duration>(backoff *
                                                       stretch(m_random));
  }

  void StartProbing() {
    const Clock::TimePoint now = m_clock.Now();
    for (auto& [id, entry] : m_entries) {
      if (entry.state == State::kEjected && now >= entry.backoff_until) {
        entry.state = State::kProbing;
        entry.successful_probes = 0;
      }
    }
  }

  // If more than half of the targets are outliers at once, the cause is
  // something that they share. Ejecting some would only shift their load to the
  // rest.
  void EjectOutliers() {
    std::vector<Entry*> serving = ServingTargets();
    UpdateMedian(serving);
    std::vector<Entry*> outliers;
    std::copy_if(serving.begin(), serving.end(), std::back_inserter(outliers),
                 [this](const Entry* entry) { return IsOutlier(*entry); });
    if (2 * outliers.size() > serving.size()) {
      return;
    }
    std::stable_sort(outliers.begin(), outliers.end(),
                     [](const Entry* a, const Entry* b) {
                       return a->consecutive_failures > b->consecutive_failures;
                     });
    for (Entry* entry : outliers) {
      if (!CanEjectAnother()) {
        return;
      }
      Eject(*entry);
    }
  }

  std::vector<Entry*> ServingTargets() {
    std::vector<Entry*> serving;
    for (auto& [id, entry] : m_entries) {
      if (StateOf(entry) == State::kServing) {
        serving.push_back(&entry);
      }
    }
    return serving;
  }

  // Uses the lower median, so that of two targets the faster one is the
  // reference.
  void UpdateMedian(const std::vector<Entry*>& serving) {
    std::vector<double> means;
    for (const Entry* entry : serving) {
      if (entry->window.runs() >= m_parameters.min_samples) {
        means.push_back(acc::mean(entry->window.latency));
      }
    }
    if (means.empty()) {
      return;
    }
    const auto middle =
        means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    m_median = *middle;
  }

  bool IsOutlier(const Entry& entry) const {
    if (entry.consecutive_failures >= kConsecutiveFailures ||
        IsStalled(entry)) {
      return true;
    }
    if (entry.window.samples() < m_parameters.min_samples) {
      return false;
    }
    const bool is_slow = !IsCold(entry) &&
                         entry.window.runs() >= m_parameters.min_samples &&
                         IsSlow(acc::mean(entry.window.latency));
    return is_slow || entry.window.FailureShare() > kMaxFailureShare;
  }

  // A target that accepts requests and never answers would reach five failures
  // only after five requests have reached their deadlines. The lack of any
  // answer shows it sooner.
  bool IsStalled(const Entry& entry) const {
    if (entry.outstanding < kConsecutiveFailures) {
      return false;
    }
    const Clock::Duration unanswered = m_clock.Now() - entry.unanswered_since;
    return unanswered > kMinStall && IsSlow(ToSeconds(unanswered) / 2);
  }

  // Leaving and expired targets get no requests anyway and aren't counted. If
  // they were, ejection could take a third of all targets when only half of
  // them are left.
  bool CanEjectAnother() const {
    std::size_t present = 0;
    std::size_t ineligible = 0;
    for (const auto& [id, entry] : m_entries) {
      const State state = StateOf(entry);
      if (state == State::kLeaving || state == State::kExpired) {
        continue;
      }
      ++present;
      ineligible += state == State::kServing ? 0 : 1;
    }
    const double limit =
        m_parameters.max_ejected_share * static_cast<double>(present);
    return static_cast<double>(ineligible + 1) <= limit;
  }

  // The window of a target with few requests is extended, so that the target
  // can be judged as well.
  void CloseWindows() {
    const Clock::TimePoint now = m_clock.Now();
    for (auto& [id, entry] : m_entries) {
      const Clock::Duration age = now - entry.window.start;
      const bool has_enough_samples =
          entry.window.samples() >= m_parameters.min_samples;
      const auto max_age = kMaxWindowExtension * m_parameters.window;
      if (age >= max_age ||
          (has_enough_samples && age >= m_parameters.window)) {
        entry.window = Window();
        entry.window.start = now;
      }
    }
  }

  const Clock& m_clock;
  std::mt19937_64& m_random;
  const Parameters m_parameters;
  // Ordered, so that a run with the same seed is reproducible.
  std::map<TargetId, Entry> m_entries;
  std::optional<double> m_median;
};

TargetEjection::TargetEjection(const Clock& clock,
                               std::mt19937_64& random,
                               const Parameters& parameters)
    : m_impl(std::make_unique<Impl>(clock, random, parameters)) {}

TargetEjection::~TargetEjection() = default;

void TargetEjection::OnAnnounced(const TargetId& id, bool leaving) {
  m_impl->OnAnnounced(id, leaving);
}

void TargetEjection::RemoveTarget(const TargetId& id) {
  m_impl->RemoveTarget(id);
}

void TargetEjection::MarkCold(const TargetId& id) {
  m_impl->MarkCold(id);
}

void TargetEjection::OnSent(const TargetId& id) {
  m_impl->OnSent(id);
}

void TargetEjection::OnFinished(const TargetId& id,
                                TargetCallOutcome outcome,
                                Clock::Duration latency) {
  m_impl->OnFinished(id, outcome, latency);
}

void TargetEjection::Poll() {
  m_impl->Poll();
}

bool TargetEjection::IsEligible(const TargetId& id) const {
  return m_impl->IsEligible(id);
}

TargetEjection::State TargetEjection::StateOf(const TargetId& id) const {
  return m_impl->StateOf(id);
}

}  // namespace citrongrade
