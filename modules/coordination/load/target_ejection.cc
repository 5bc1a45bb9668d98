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

constexpr double kBadShare = 0.5;

// A window without enough samples goes on for this many windows' time.
constexpr int kLongestWindow = 10;

// A pause is stretched by up to this share at random, so that several nodes
// don't probe a weak target in one moment.
constexpr double kPauseJitter = 0.25;

// At least this long without one answer, and at least twice as long as the
// others' answers take by `latency_factor`, is called frozen.
constexpr std::chrono::milliseconds kLeastStall(1000);

double ToSeconds(Clock::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

struct Window {
  MeanLatency latency;
  // Of those in `latency`.
  std::size_t failures = 0;
  // Besides those in `latency`.
  std::size_t refusals = 0;
  Clock::TimePoint began;

  std::size_t runs() const { return acc::count(latency); }
  std::size_t samples() const { return runs() + refusals; }
  double UselessShare() const {
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
  std::size_t failures_in_row = 0;
  std::size_t outstanding = 0;
  // Since when outstanding requests have had no answer.
  Clock::TimePoint silent_since;
  Clock::TimePoint paused_until;
  std::size_t ejections_in_row = 0;
  std::size_t good_probes = 0;
  bool probe_under_way = false;
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
    EntryOf(id).cold_until = m_clock.Now() + m_parameters.warm_up;
  }

  void OnSent(const TargetId& id) {
    Entry& entry = EntryOf(id);
    if (entry.outstanding == 0) {
      entry.silent_since = m_clock.Now();
    }
    ++entry.outstanding;
    entry.probe_under_way = entry.state == State::kProbing;
  }

  void OnFinished(const TargetId& id,
                  RunOutcome outcome,
                  Clock::Duration latency) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      return;
    }
    Entry& entry = found->second;
    CountEnd(entry, outcome);
    if (entry.state == State::kProbing) {
      OnProbeFinished(entry, outcome, latency);
      return;
    }
    if (entry.state == State::kServing) {
      CountSample(entry, outcome, latency);
    }
  }

  void Poll() {
    EndPauses();
    EjectWorst();
    CloseWindows();
  }

  bool MayReceive(const TargetId& id) const {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      return false;
    }
    const State state = StateOf(found->second);
    if (state == State::kProbing) {
      return !found->second.probe_under_way;
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
    const Clock::Duration unheard = m_clock.Now() - entry.announced_at;
    if (unheard >= m_parameters.announcement_timeout) {
      return State::kSilent;
    }
    return entry.state;
  }

  Entry& EntryOf(const TargetId& id) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      throw UnknownTargetError(id);
    }
    return found->second;
  }

  void CountEnd(Entry& entry, RunOutcome outcome) {
    if (entry.outstanding > 0) {
      --entry.outstanding;
    }
    if (outcome != RunOutcome::kUnknown) {
      entry.silent_since = m_clock.Now();
    }
  }

  static void CountSample(Entry& entry,
                          RunOutcome outcome,
                          Clock::Duration latency) {
    if (outcome == RunOutcome::kNotRun) {
      ++entry.window.refusals;
      return;
    }
    entry.window.latency(ToSeconds(latency));
    if (outcome == RunOutcome::kDone) {
      entry.failures_in_row = 0;
      return;
    }
    ++entry.window.failures;
    ++entry.failures_in_row;
  }

  // Ends of requests from before the ejection come in while the target probes.
  // A good one among them counts as a probe: it is as good an answer. A refusal
  // ends the probing like a failure: with nothing running a refused probe would
  // be followed by the next at once, and all requests would go that way.
  void OnProbeFinished(Entry& entry,
                       RunOutcome outcome,
                       Clock::Duration latency) {
    entry.probe_under_way = false;
    const bool is_slow = !IsCold(entry) && IsSlow(ToSeconds(latency));
    if (outcome != RunOutcome::kDone || is_slow) {
      Eject(entry);
      return;
    }
    ++entry.good_probes;
    if (entry.good_probes >= kProbesToReturn) {
      Return(entry);
    }
  }

  bool IsCold(const Entry& entry) const {
    return m_clock.Now() < entry.cold_until;
  }

  bool IsSlow(double seconds) const {
    return m_median && seconds > m_parameters.latency_factor * *m_median;
  }

  static void Return(Entry& entry) {
    entry.state = State::kServing;
    entry.window = Window();
    entry.failures_in_row = 0;
    entry.ejections_in_row = 0;
  }

  void Eject(Entry& entry) {
    entry.state = State::kEjected;
    entry.good_probes = 0;
    entry.probe_under_way = false;
    entry.paused_until = m_clock.Now() + NextPause(entry.ejections_in_row);
    ++entry.ejections_in_row;
  }

  Clock::Duration NextPause(std::size_t ejections_before) {
    Clock::Duration pause = m_parameters.first_pause;
    for (std::size_t i = 0; i < ejections_before; ++i) {
      pause = std::min<Clock::Duration>(2 * pause, m_parameters.longest_pause);
    }
    std::uniform_real_distribution<double> stretch(1, 1 + kPauseJitter);
    return std::chrono::duration_cast<Clock::Duration>(pause *
                                                       stretch(m_random));
  }

  void EndPauses() {
    const Clock::TimePoint now = m_clock.Now();
    for (auto& [id, entry] : m_entries) {
      if (entry.state == State::kEjected && now >= entry.paused_until) {
        entry.state = State::kProbing;
        entry.good_probes = 0;
      }
    }
  }

  // More than half ill at once is not the targets' fault but something behind
  // them all: taking any out would only press the load on the rest.
  void EjectWorst() {
    std::vector<Entry*> serving = Serving();
    UpdateMedian(serving);
    std::vector<Entry*> ill;
    std::copy_if(serving.begin(), serving.end(), std::back_inserter(ill),
                 [this](const Entry* entry) { return IsIll(*entry); });
    if (2 * ill.size() > serving.size()) {
      return;
    }
    std::stable_sort(ill.begin(), ill.end(),
                     [](const Entry* a, const Entry* b) {
                       return a->failures_in_row > b->failures_in_row;
                     });
    for (Entry* entry : ill) {
      if (!MayEjectOneMore()) {
        return;
      }
      Eject(*entry);
    }
  }

  std::vector<Entry*> Serving() {
    std::vector<Entry*> serving;
    for (auto& [id, entry] : m_entries) {
      if (StateOf(entry) == State::kServing) {
        serving.push_back(&entry);
      }
    }
    return serving;
  }

  // The lower median: of two targets the faster one is the measure.
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

  bool IsIll(const Entry& entry) const {
    if (entry.failures_in_row >= kConsecutiveFailures || IsFrozen(entry)) {
      return true;
    }
    if (entry.window.samples() < m_parameters.min_samples) {
      return false;
    }
    const bool is_slow = !IsCold(entry) &&
                         entry.window.runs() >= m_parameters.min_samples &&
                         IsSlow(acc::mean(entry.window.latency));
    return is_slow || entry.window.UselessShare() > kBadShare;
  }

  // Waiting for five failures takes five deadlines' time when a target accepts
  // requests and never answers; nothing answered at all tells sooner.
  bool IsFrozen(const Entry& entry) const {
    if (entry.outstanding < kConsecutiveFailures) {
      return false;
    }
    const Clock::Duration silent = m_clock.Now() - entry.silent_since;
    return silent > kLeastStall && IsSlow(ToSeconds(silent) / 2);
  }

  // Targets that leave or are silent are gone anyway; counting them as well
  // would let ejection take a third of a mesh of which half is left.
  bool MayEjectOneMore() const {
    std::size_t present = 0;
    std::size_t out = 0;
    for (const auto& [id, entry] : m_entries) {
      const State state = StateOf(entry);
      if (state == State::kLeaving || state == State::kSilent) {
        continue;
      }
      ++present;
      out += state == State::kServing ? 0 : 1;
    }
    const double most =
        m_parameters.max_ejected_share * static_cast<double>(present);
    return static_cast<double>(out + 1) <= most;
  }

  // A target with few requests keeps its window for longer, so that it can be
  // judged as well.
  void CloseWindows() {
    const Clock::TimePoint now = m_clock.Now();
    for (auto& [id, entry] : m_entries) {
      const Clock::Duration age = now - entry.window.began;
      const bool enough = entry.window.samples() >= m_parameters.min_samples;
      const auto longest = kLongestWindow * m_parameters.window;
      if (age >= longest || (enough && age >= m_parameters.window)) {
        entry.window = Window();
        entry.window.began = now;
      }
    }
  }

  const Clock& m_clock;
  std::mt19937_64& m_random;
  const Parameters m_parameters;
  // Ordered, so that a run with the same seed repeats.
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
                                RunOutcome outcome,
                                Clock::Duration latency) {
  m_impl->OnFinished(id, outcome, latency);
}

void TargetEjection::Poll() {
  m_impl->Poll();
}

bool TargetEjection::MayReceive(const TargetId& id) const {
  return m_impl->MayReceive(id);
}

TargetEjection::State TargetEjection::StateOf(const TargetId& id) const {
  return m_impl->StateOf(id);
}

}  // namespace citrongrade
