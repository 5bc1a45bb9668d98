#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace citrongrade {

class MeshView;

// Computes how long a node that has lost its leader waits before it asks for
// votes.
//
// All nodes of a mesh notice the loss within some hundred milliseconds, and
// each gives its only vote to the first candidate that asks. Candidates that
// ask at the same time split the votes: none gets a majority, and the votes
// stay bound for the length of a promise. With 86 nodes asking within one
// window of 200 ms, a mesh was without a leader for three seconds.
//
// Candidates are therefore ranked, in an order that every node computes from
// the shared view: by the fitness of the host, then by a hash that changes with
// each leader. Each rank's delay is long enough for the rank before it to ask
// all nodes and receive their answers.
//
// A node without a view, after the loss of all processes, has no rank. It waits
// according to its own fitness and its position among the voters; see
// MeshAgent.
class ElectionDelay {
 public:
  // `lost_leader`: mesh address of the leader to be replaced, `epoch`: that
  // leader's epoch.
  ElectionDelay(const MeshView& view,
                const std::string& lost_leader,
                std::uint64_t epoch);

  // Orders equally fit candidates; a different order in each epoch.
  static std::size_t TieBreakHash(const std::string& address,
                                  std::uint64_t epoch);

  // `random` spreads the nodes that have no delay of their own.
  std::chrono::milliseconds DelayFor(const std::string& self,
                                     std::uint64_t random) const;

 private:
  // Number of present members that precede `self` in the election order.
  std::size_t RankOf(const std::string& self) const;

  const MeshView& m_view;
  const std::string m_lost_leader;
  const std::uint64_t m_epoch;
};

}  // namespace citrongrade
