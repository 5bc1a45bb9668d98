#include "programs/citrongradectl/in_force_waiter.h"

#include <doctest/doctest.h>

#include <atomic>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

std::vector<NodeProgress> MakeNodes(int count) {
  std::vector<NodeProgress> nodes;
  nodes.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    nodes.push_back({NodeId("node-" + std::to_string(i)), "", LogOffset(), ""});
  }
  return nodes;
}

}  // namespace

TEST_CASE("waiting ends once every node has applied the record") {
  ManualClock clock;
  std::atomic<int> asked = 0;
  InForceWaiter waiter(
      clock,
      [&asked](NodeProgress& node) {
        ++asked;
        node.next_offset = LogOffset(asked > 100 ? 8 : 7);
      },
      [&clock](milliseconds pause) { clock.Advance(pause); });
  const auto nodes =
      waiter.Wait(MakeNodes(40), LogOffset(7), milliseconds(999));
  for (const NodeProgress& node : nodes) {
    CHECK(node.HasApplied(LogOffset(7)));
  }
  CHECK(asked <= 140);
}

TEST_CASE("a node that never answers is named when the time is up") {
  // One node is cut off. The others are in force at once; the operator learns
  // after the time-out which one lags, and why.
  ManualClock clock;
  InForceWaiter waiter(
      clock,
      [](NodeProgress& node) {
        if (node.node == NodeId("node-1")) {
          node.error = "no answer";
        } else {
          node.next_offset = LogOffset(8);
        }
      },
      [&clock](milliseconds pause) { clock.Advance(pause); });
  const auto nodes = waiter.Wait(MakeNodes(3), LogOffset(7), milliseconds(999));
  CHECK(nodes[0].HasApplied(LogOffset(7)));
  CHECK_FALSE(nodes[1].HasApplied(LogOffset(7)));
  CHECK(nodes[1].error == "no answer");
}

}  // namespace citrongrade
