#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/state/request_error_code.h"
#include "modules/state/request_outcome.h"

namespace citrongrade {

// Counts and latencies of one node, by Boost.Accumulators. Thread-safe.
class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  // A caller got an answer; from arrival until the answer was passed on.
  void OnAnswered(RequestOutcome outcome, Clock::Duration latency);
  void OnRefused(RequestErrorCode error);
  void OnForwarded();
  void OnRetried();
  // The caller closed its connection before it had its answer.
  void OnCallerGone();
  // An answer's head had gone out when the rest was lost.
  void OnAnswerCut();

  // One "name value" a line.
  std::string Render() const;

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
