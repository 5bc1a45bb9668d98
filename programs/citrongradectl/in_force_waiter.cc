#include "programs/citrongradectl/in_force_waiter.h"

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>
#include <utility>

namespace citrongrade {

namespace {

constexpr std::size_t kMaxThreads = 32;
constexpr std::chrono::milliseconds kPauseBetweenRounds{20};

}  // namespace

InForceWaiter::InForceWaiter(const Clock& clock, Ask ask, Pause pause)
    : m_clock(&clock), m_ask(std::move(ask)), m_pause(std::move(pause)) {}

std::vector<NodeProgress> InForceWaiter::Wait(
    std::vector<NodeProgress> nodes,
    LogOffset offset,
    std::chrono::milliseconds timeout) {
  const Clock::TimePoint deadline = m_clock->Now() + timeout;
  while (true) {
    std::vector<NodeProgress*> lagging;
    for (NodeProgress& node : nodes) {
      if (!node.HasApplied(offset)) {
        lagging.push_back(&node);
      }
    }
    AskAll(lagging);
    const bool all_there = std::all_of(lagging.begin(), lagging.end(),
                                       [offset](const NodeProgress* node) {
                                         return node->HasApplied(offset);
                                       });
    if (all_there || m_clock->Now() >= deadline) {
      return nodes;
    }
    m_pause(kPauseBetweenRounds);
  }
}

void InForceWaiter::AskAll(const std::vector<NodeProgress*>& nodes) const {
  std::atomic<std::size_t> next = 0;
  const auto work = [this, &nodes, &next] {
    for (std::size_t i = next++; i < nodes.size(); i = next++) {
      m_ask(*nodes[i]);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(kMaxThreads, nodes.size()); ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace citrongrade
