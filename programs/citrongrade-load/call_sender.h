#pragma once

#include <memory>

namespace citrongrade {

struct AttemptResult;
struct LoadSettings;
struct PlannedCall;

// Makes attempts over kept connections to the nodes, and to the targets for
// direct reads. Blocks until the answer or the time-out. Thread-safe.
class CallSender {
 public:
  explicit CallSender(const LoadSettings& settings);
  ~CallSender();

  // `attempt` counts from 0; each goes to the next node, since a caller whose
  // node doesn't answer tries another.
  AttemptResult Send(const PlannedCall& call, unsigned attempt);

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
