#include "modules/coordination/load/concurrency_limit.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>

namespace citrongrade {

namespace {

namespace acc = boost::accumulators;

using MeanLatency =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>>;

// One window keeps at least this share of the limit, so that a single outlier
// (such as a pause of the machine) does not undo minutes of growth.
constexpr double kMinShrinkFactor = 0.8;

// A cut below the declared concurrency stands only if this share of the
// throughput remains; the mean of a window of about 60 runs is accurate to
// within 5%.
constexpr double kMinTrialThroughputShare = 0.9;

constexpr std::chrono::seconds kTrialRetryDelay(30);

// A cut below the declared concurrency that is being evaluated, with the limit
// and the throughput before it.
struct Trial {
  std::size_t limit = 0;
  double throughput = 0;
};

double ToSeconds(Clock::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// The lowest mean latency of one work class over the kept periods.
class Baseline {
 public:
  void Add(double latency) { m_current(latency); }

  // A period without enough samples continues into the next one, so that a
  // class with few requests keeps its baseline.
  void ClosePeriod(std::size_t min_samples, std::size_t periods_kept) {
    if (acc::count(m_current) < min_samples) {
      return;
    }
    m_period_means.push_back(acc::mean(m_current));
    m_current = MeanLatency();
    while (m_period_means.size() > periods_kept) {
      m_period_means.pop_front();
    }
  }

  std::optional<double> Best(std::size_t min_samples) const {
    if (!m_period_means.empty()) {
      return *std::min_element(m_period_means.begin(), m_period_means.end());
    }
    if (acc::count(m_current) >= min_samples) {
      return acc::mean(m_current);
    }
    return std::nullopt;
  }

 private:
  MeanLatency m_current;
  std::deque<double> m_period_means;
};

}  // namespace

class ConcurrencyLimit::Impl {
 public:
  Impl(const Clock& clock, const Parameters& parameters)
      : m_clock(clock),
        m_parameters(parameters),
        m_limit(std::max<std::size_t>(1, parameters.declared_concurrency)),
        m_window_began(clock.Now()),
        m_period_began(clock.Now()) {}

  void OnFinished(WorkClass work_class,
                  Clock::Duration latency,
                  std::size_t running) {
    const auto index = static_cast<std::size_t>(work_class);
    const double seconds = ToSeconds(latency);
    m_window[index](seconds);
    m_peak_running = std::max(m_peak_running, running);
    if (IsUncongested(running)) {
      m_baselines[index].Add(seconds);
    }
    ClosePeriodWhenDue();
    CloseWindowWhenDue();
  }

  std::size_t limit() const { return m_limit; }

 private:
  // Below half of the declared concurrency many targets answer faster than they
  // can under load (caches, CPU turbo). A baseline learned there would shrink
  // the limit of a healthy target.
  bool IsUncongested(std::size_t running) const {
    return running <= m_parameters.declared_concurrency &&
           2 * running >= m_parameters.declared_concurrency;
  }

  void ClosePeriodWhenDue() {
    if (m_clock.Now() - m_period_began < m_parameters.baseline_period) {
      return;
    }
    m_period_began = m_clock.Now();
    for (Baseline& baseline : m_baselines) {
      baseline.ClosePeriod(m_parameters.min_samples,
                           m_parameters.baseline_periods);
    }
  }

  void CloseWindowWhenDue() {
    if (m_clock.Now() - m_window_began < m_parameters.window) {
      return;
    }
    if (SamplesInWindow() < m_parameters.min_samples) {
      return;
    }
    if (const std::optional<double> slowdown = Slowdown()) {
      Adjust(*slowdown);
    }
    m_window_began = m_clock.Now();
    m_peak_running = 0;
    m_window = {};
  }

  std::size_t SamplesInWindow() const {
    std::size_t samples = 0;
    for (const MeanLatency& latency : m_window) {
      samples += acc::count(latency);
    }
    return samples;
  }

  // Ratio of the window's mean latency to the best one, averaged over the runs
  // of all work classes.
  std::optional<double> Slowdown() const {
    double sum = 0;
    double weight = 0;
    for (std::size_t index = 0; index < kWorkClassCount; ++index) {
      const auto best = m_baselines[index].Best(m_parameters.min_samples);
      const auto samples = static_cast<double>(acc::count(m_window[index]));
      if (!best || samples == 0) {
        continue;
      }
      sum += samples * acc::mean(m_window[index]) / *best;
      weight += samples;
    }
    if (weight == 0) {
      return std::nullopt;
    }
    return sum / weight;
  }

  void Adjust(double slowdown) {
    if (m_trial) {
      EvaluateTrial(slowdown);
      return;
    }
    const bool in_use = m_peak_running >= m_limit;
    if (!in_use) {
      return;
    }
    const bool has_extra = m_limit > m_parameters.declared_concurrency;
    if (slowdown > kShrinkAbove) {
      Shrink(slowdown);
    } else if (has_extra && slowdown > kDropExtraAbove) {
      --m_limit;
    } else if (slowdown < kGrowBelow) {
      m_limit = std::min(m_limit + 1, MaxLimit());
    }
  }

  void Shrink(double slowdown) {
    const double shrink_factor =
        std::max(kMinShrinkFactor, kShrinkAbove / slowdown);
    const auto shrunk_limit =
        static_cast<std::size_t>(static_cast<double>(m_limit) * shrink_factor);
    const std::size_t new_limit = std::max(shrunk_limit, MinLimit());
    if (new_limit >= m_parameters.declared_concurrency) {
      m_limit = new_limit;
      return;
    }
    if (m_limit > m_parameters.declared_concurrency ||
        m_clock.Now() < m_no_trial_until) {
      m_limit = std::min(m_limit, m_parameters.declared_concurrency);
      return;
    }
    m_trial = Trial{m_limit, Throughput(slowdown)};
    m_limit = new_limit;
  }

  // By Little's law, in units of the throughput of one uncongested run at a
  // time.
  double Throughput(double slowdown) const {
    return static_cast<double>(m_limit) / slowdown;
  }

  // Latency with causes other than concurrency (such as a slow store behind the
  // target) does not fall with the limit. A lower limit then only reduces the
  // throughput, and callers are refused that the target could serve.
  void EvaluateTrial(double slowdown) {
    if (Throughput(slowdown) < kMinTrialThroughputShare * m_trial->throughput) {
      m_limit = m_trial->limit;
      m_no_trial_until = m_clock.Now() + kTrialRetryDelay;
    }
    m_trial.reset();
  }

  std::size_t MinLimit() const {
    return std::max<std::size_t>(1,
                                 (m_parameters.declared_concurrency + 1) / 2);
  }

  std::size_t MaxLimit() const {
    return std::max(m_parameters.declared_connections,
                    m_parameters.declared_concurrency);
  }

  const Clock& m_clock;
  const Parameters m_parameters;
  std::size_t m_limit;
  std::size_t m_peak_running = 0;
  std::optional<Trial> m_trial;
  Clock::TimePoint m_no_trial_until;
  std::array<MeanLatency, kWorkClassCount> m_window;
  std::array<Baseline, kWorkClassCount> m_baselines;
  Clock::TimePoint m_window_began;
  Clock::TimePoint m_period_began;
};

ConcurrencyLimit::ConcurrencyLimit(const Clock& clock,
                                   const Parameters& parameters)
    : m_impl(std::make_unique<Impl>(clock, parameters)) {}

ConcurrencyLimit::~ConcurrencyLimit() = default;

void ConcurrencyLimit::OnFinished(WorkClass work_class,
                                  Clock::Duration latency,
                                  std::size_t running) {
  m_impl->OnFinished(work_class, latency, running);
}

std::size_t ConcurrencyLimit::limit() const {
  return m_impl->limit();
}

}  // namespace citrongrade
