#include "modules/coordination/load/target_picker.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "modules/coordination/load/load_errors.h"

namespace citrongrade {

namespace {

// Slower answers weigh more than quicker ones, because a queue builds up faster
// than it is seen to have drained.
constexpr double kSlownessRiseWeight = 0.5;
constexpr double kSlownessFallWeight = 0.2;
// About ten answers dominate the average; single ones vary too widely.
constexpr double kTargetLatencyRatioWeight = 0.1;
// Bound of one sample; beyond it an answer is just far too late.
constexpr double kMaxTargetLatencyRatio = 2;

struct Entry {
  TargetDescription description;
  bool eligible = true;
  double capacity_share = 1;
  std::size_t outstanding = 0;
  double reported_load = 0;
  Clock::TimePoint reported_at;
  double slowness = 1;
  Clock::TimePoint slowness_at;
  // Not set before the first sample.
  std::optional<double> target_latency_ratio;
  Clock::TimePoint latency_at;

  double Capacity() const {
    return std::max(
        1.0, static_cast<double>(description.concurrency) * capacity_share);
  }
};

using Pool = std::vector<Entry*>;

}  // namespace

class TargetPicker::Impl {
 public:
  Impl(const Clock& clock, std::mt19937_64& random, AvailabilityZone own_zone)
      : m_clock(clock), m_random(random), m_own_zone(std::move(own_zone)) {}

  void SetTarget(const TargetDescription& target) {
    m_entries[target.id].description = target;
    RebuildPools();
  }

  void RemoveTarget(const TargetId& id) {
    m_entries.erase(id);
    RebuildPools();
  }

  void SetEligible(const TargetId& id, bool eligible) {
    Entry& entry = GetEntry(id);
    if (entry.eligible == eligible) {
      return;
    }
    entry.eligible = eligible;
    RebuildPools();
  }

  void SetCapacityShare(const TargetId& id, double share) {
    GetEntry(id).capacity_share = share;
  }

  void OnReport(const TargetId& id, std::size_t load, Clock::Duration lag) {
    Entry& entry = GetEntry(id);
    entry.reported_load = static_cast<double>(load);
    entry.reported_at = m_clock.Now() - lag;
  }

  void OnSlowness(const TargetId& id, double slowness) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      return;
    }
    Entry& entry = found->second;
    const double current = Slowness(entry);
    const double sample = std::clamp(slowness, TargetPicker::kMinSlowness,
                                     TargetPicker::kMaxSlowness);
    const double weight =
        sample > current ? kSlownessRiseWeight : kSlownessFallWeight;
    entry.slowness = current + weight * (sample - current);
    entry.slowness_at = m_clock.Now();
  }

  void OnTargetLatencyRatio(const TargetId& id, double ratio) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      return;
    }
    Entry& entry = found->second;
    const double sample = std::min(ratio, kMaxTargetLatencyRatio);
    const double current = TargetLatencyRatio(entry);
    entry.target_latency_ratio =
        entry.target_latency_ratio
            ? current + kTargetLatencyRatioWeight * (sample - current)
            : sample;
    entry.latency_at = m_clock.Now();
  }

  void OnSent(const TargetId& id) { ++GetEntry(id).outstanding; }

  void OnFinished(const TargetId& id) {
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && found->second.outstanding > 0) {
      --found->second.outstanding;
    }
  }

  std::optional<TargetId> Pick(const std::optional<TargetId>& excluded) {
    const Entry* local = BetterOfTwo(m_eligible_local, excluded);
    if (local != nullptr && HasCapacity(*local)) {
      return local->description.id;
    }
    const Entry* best = Better(local, BetterOfTwo(m_eligible, excluded));
    if (best == nullptr) {
      return std::nullopt;
    }
    return best->description.id;
  }

 private:
  Entry& GetEntry(const TargetId& id) {
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
      throw UnknownTargetError(id);
    }
    return found->second;
  }

  // Sorts by id, so that a run with the same seed is reproducible whatever the
  // order of the hash table.
  void RebuildPools() {
    m_eligible.clear();
    m_eligible_local.clear();
    for (auto& [id, entry] : m_entries) {
      if (entry.eligible) {
        m_eligible.push_back(&entry);
      }
    }
    std::sort(m_eligible.begin(), m_eligible.end(),
              [](const Entry* a, const Entry* b) {
                return a->description.id < b->description.id;
              });
    std::copy_if(m_eligible.begin(), m_eligible.end(),
                 std::back_inserter(m_eligible_local),
                 [this](const Entry* entry) {
                   return entry->description.zone == m_own_zone;
                 });
  }

  const Entry* BetterOfTwo(const Pool& pool,
                           const std::optional<TargetId>& excluded) {
    const Entry* first = PickRandom(pool, excluded, nullptr);
    if (first == nullptr) {
      return nullptr;
    }
    return Better(first, PickRandom(pool, excluded, first));
  }

  // Starts at a random index and returns the first target that may be picked;
  // at most two are skipped.
  const Entry* PickRandom(const Pool& pool,
                          const std::optional<TargetId>& excluded,
                          const Entry* taken) {
    if (pool.empty()) {
      return nullptr;
    }
    std::uniform_int_distribution<std::size_t> random_index(0, pool.size() - 1);
    std::size_t index = random_index(m_random);
    const std::size_t tries = std::min<std::size_t>(pool.size(), 3);
    for (std::size_t attempt = 0; attempt < tries; ++attempt) {
      const Entry* entry = pool[index];
      if (entry != taken && entry->description.id != excluded) {
        return entry;
      }
      index = (index + 1) % pool.size();
    }
    return nullptr;
  }

  const Entry* Better(const Entry* first, const Entry* second) const {
    if (first == nullptr) {
      return second;
    }
    if (second == nullptr) {
      return first;
    }
    return Score(*second) < Score(*first) ? second : first;
  }

  double OwnUtilization(const Entry& entry) const {
    return static_cast<double>(entry.outstanding + 1) / entry.Capacity();
  }

  double ReportedUtilization(const Entry& entry) const {
    const std::chrono::duration<double> age = m_clock.Now() - entry.reported_at;
    const double decay = std::exp2(-age / kReportHalfLife);
    return decay * entry.reported_load / entry.Capacity();
  }

  double Score(const Entry& entry) const {
    const double reported = std::min(1.0, ReportedUtilization(entry));
    // Refusals are quick, so slowness alone doesn't show a target that refuses.
    const double penalty =
        std::max(1.0, TargetLatencyRatio(entry) / TargetPicker::kSpilloverFull);
    return (OwnUtilization(entry) + kReportedLoadWeight * reported) *
           Slowness(entry) * penalty;
  }

  double Slowness(const Entry& entry) const {
    const std::chrono::duration<double> age = m_clock.Now() - entry.slowness_at;
    return 1 + std::exp2(-age / TargetPicker::kSlownessHalfLife) *
                   (entry.slowness - 1);
  }

  double TargetLatencyRatio(const Entry& entry) const {
    const std::chrono::duration<double> age = m_clock.Now() - entry.latency_at;
    return entry.target_latency_ratio.value_or(0) *
           std::exp2(-age / TargetPicker::kSlownessHalfLife);
  }

  bool DrawStaysLocal(const Entry& entry) {
    std::uniform_real_distribution<> random_limit(TargetPicker::kSpilloverStart,
                                                  TargetPicker::kSpilloverFull);
    return TargetLatencyRatio(entry) < random_limit(m_random);
  }

  // Reported load counts in full here, because each of many nodes has few
  // outstanding requests at a target that is full. A report can only move
  // requests to other zones; one that is too low attracts no requests that two
  // random choices wouldn't send here anyway.
  bool HasCapacity(const Entry& entry) {
    const double utilization =
        std::max(OwnUtilization(entry), ReportedUtilization(entry));
    if (entry.target_latency_ratio) {
      return utilization < kMaxLocalUtilization && DrawStaysLocal(entry);
    }
    return utilization * Slowness(entry) < kMaxLocalUtilization;
  }

  const Clock& m_clock;
  std::mt19937_64& m_random;
  const AvailabilityZone m_own_zone;
  std::unordered_map<TargetId, Entry> m_entries;
  // Point into m_entries, whose elements keep their addresses.
  Pool m_eligible;
  Pool m_eligible_local;
};

TargetPicker::TargetPicker(const Clock& clock,
                           std::mt19937_64& random,
                           AvailabilityZone own_zone)
    : m_impl(std::make_unique<Impl>(clock, random, std::move(own_zone))) {}

TargetPicker::~TargetPicker() = default;

void TargetPicker::SetTarget(const TargetDescription& target) {
  m_impl->SetTarget(target);
}

void TargetPicker::RemoveTarget(const TargetId& id) {
  m_impl->RemoveTarget(id);
}

void TargetPicker::SetEligible(const TargetId& id, bool eligible) {
  m_impl->SetEligible(id, eligible);
}

void TargetPicker::SetCapacityShare(const TargetId& id, double share) {
  m_impl->SetCapacityShare(id, share);
}

void TargetPicker::OnReport(const TargetId& id,
                            std::size_t load,
                            Clock::Duration lag) {
  m_impl->OnReport(id, load, lag);
}

void TargetPicker::OnSlowness(const TargetId& id, double slowness) {
  m_impl->OnSlowness(id, slowness);
}

void TargetPicker::OnTargetLatencyRatio(const TargetId& id, double ratio) {
  m_impl->OnTargetLatencyRatio(id, ratio);
}

void TargetPicker::OnSent(const TargetId& id) {
  m_impl->OnSent(id);
}

void TargetPicker::OnFinished(const TargetId& id) {
  m_impl->OnFinished(id);
}

std::optional<TargetId> TargetPicker::Pick(
    const std::optional<TargetId>& excluded) {
  return m_impl->Pick(excluded);
}

}  // namespace citrongrade
