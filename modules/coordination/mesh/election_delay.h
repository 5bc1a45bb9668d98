#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace citrongrade {

class MeshView;

// How long a node that misses its leader waits before it asks for votes.
//
// Load pattern: all nodes of a mesh miss their leader within some hundred
// milliseconds, and each gives its one vote to whoever asks first. Those that
// ask at once divide the votes, nobody gets half, and the votes are bound for a
// promise's length: 86 nodes in one window of 200 ms were without a leader for
// three seconds. So they take turns, in an order that all can tell from the
// view that they share: fitter hosts first, then by a hash that changes with
// each leader. A turn is long enough for the one before to ask all and be
// answered.
//
// A node without a view, after the loss of all processes, has no turn: it waits
// by its own fitness, and by its place among the voters.
class ElectionDelay {
 public:
  // `lost`: mesh address of the leader that is to be replaced, `epoch` its own.
  ElectionDelay(const MeshView& view,
                const std::string& lost,
                std::uint64_t epoch);

  // Whose turn is first among equals: another with each epoch.
  static std::size_t TieBreakHash(const std::string& address,
                                  std::uint64_t epoch);

  // What `self` waits; `random` spreads those who have no turn of their own.
  std::chrono::milliseconds DelayFor(const std::string& self,
                                     std::uint64_t random) const;

 private:
  // Present members that go before `self`.
  std::size_t RankOf(const std::string& self) const;

  const MeshView& m_view;
  const std::string m_lost_leader;
  const std::uint64_t m_epoch;
};

}  // namespace citrongrade
