#pragma once

#include <chrono>
#include <functional>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/state/identifiers.h"
#include "programs/citrongradectl/node_progress.h"

namespace citrongrade {

// Waits until nodes have applied the log up to a record. Asks many at once, so
// that some that don't answer hold up the rest no longer than one would.
class InForceWaiter {
 public:
  // Asks one node and fills in its answer. Called on several threads.
  using Ask = std::function<void(NodeProgress& node)>;
  using Pause = std::function<void(std::chrono::milliseconds)>;

  // The clock outlives the waiter.
  InForceWaiter(const Clock& clock, Ask ask, Pause pause);

  // Returns what each node said last, when all have applied `offset` or the
  // time is up.
  std::vector<NodeProgress> Wait(std::vector<NodeProgress> nodes,
                                 LogOffset offset,
                                 std::chrono::milliseconds timeout);

 private:
  void AskAll(const std::vector<NodeProgress*>& nodes) const;

  const Clock* m_clock;
  Ask m_ask;
  Pause m_pause;
};

}  // namespace citrongrade
