#include "modules/transport/node_metrics.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

#include "modules/transport/refusals.h"

namespace citrongrade {

namespace {

namespace acc = boost::accumulators;

constexpr std::array kQuantiles = {0.5, 0.9, 0.99, 0.999};

using LatencyAccumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::mean,
                                    acc::tag::max,
                                    acc::tag::extended_p_square>>;

LatencyAccumulator MakeLatencyAccumulator() {
  return LatencyAccumulator(acc::extended_p_square_probabilities = kQuantiles);
}

}  // namespace

class NodeMetrics::Implementation {
 public:
  struct Outcome {
    std::uint64_t count = 0;
    LatencyAccumulator milliseconds = MakeLatencyAccumulator();
  };

  mutable std::mutex mutex;
  std::map<RequestOutcome, Outcome> outcomes;
  std::map<RequestErrorCode, std::uint64_t> refusals;
  std::uint64_t forwarded = 0;
  std::uint64_t retried = 0;
  std::uint64_t callers_gone = 0;
  std::uint64_t answers_cut = 0;
};

NodeMetrics::NodeMetrics()
    : m_implementation(std::make_unique<Implementation>()) {}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::OnAnswered(RequestOutcome outcome, Clock::Duration latency) {
  const double milliseconds =
      std::chrono::duration<double, std::milli>(latency).count();
  const std::lock_guard lock(m_implementation->mutex);
  Implementation::Outcome& entry = m_implementation->outcomes[outcome];
  ++entry.count;
  entry.milliseconds(milliseconds);
}

void NodeMetrics::OnRefused(RequestErrorCode error) {
  const std::lock_guard lock(m_implementation->mutex);
  ++m_implementation->refusals[error];
}

void NodeMetrics::OnForwarded() {
  const std::lock_guard lock(m_implementation->mutex);
  ++m_implementation->forwarded;
}

void NodeMetrics::OnRetried() {
  const std::lock_guard lock(m_implementation->mutex);
  ++m_implementation->retried;
}

void NodeMetrics::OnCallerGone() {
  const std::lock_guard lock(m_implementation->mutex);
  ++m_implementation->callers_gone;
}

void NodeMetrics::OnAnswerCut() {
  const std::lock_guard lock(m_implementation->mutex);
  ++m_implementation->answers_cut;
}

std::string NodeMetrics::Render() const {
  const std::lock_guard lock(m_implementation->mutex);
  std::string text;
  for (const auto& [outcome, entry] : m_implementation->outcomes) {
    const std::string_view name = ToString(outcome);
    text +=
        fmt::format("answers_total{{outcome=\"{}\"}} {}\n", name, entry.count);
    text += fmt::format("answer_ms_mean{{outcome=\"{}\"}} {:.3f}\n", name,
                        acc::mean(entry.milliseconds));
    text += fmt::format("answer_ms_max{{outcome=\"{}\"}} {:.3f}\n", name,
                        acc::max(entry.milliseconds));
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      text += fmt::format(
          "answer_ms{{outcome=\"{}\",quantile=\"{}\"}} {:.3f}\n", name,
          kQuantiles[i], acc::extended_p_square(entry.milliseconds)[i]);
    }
  }
  for (const auto& [error, count] : m_implementation->refusals) {
    text += fmt::format("refusals_total{{error=\"{}\"}} {}\n", ToString(error),
                        count);
  }
  text += fmt::format("forwarded_total {}\n", m_implementation->forwarded);
  text += fmt::format("retried_total {}\n", m_implementation->retried);
  text +=
      fmt::format("callers_gone_total {}\n", m_implementation->callers_gone);
  text += fmt::format("answers_cut_total {}\n", m_implementation->answers_cut);
  return text;
}

}  // namespace citrongrade
