#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/state/mesh/key_slot.h"
#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// Selects the receiver of keys that are assigned next: the one that will have
// the lowest utilization, with planned moves already counted.
//
// Make one for all keys that are assigned in one step, and call AssignRange()
// for each range. It counts what it has assigned and need not be made anew: a
// leader that scanned the table for each of 1,600 assignments planned for half
// a second, and the other nodes considered it lost.
//
// Only plans: nothing takes effect by it. See also KeyAssigner, which records
// the assignments, and KeyBalancer, which relieves busy owners.
class KeyPlacement {
 public:
  struct Receiver {
    std::string address;
    // Requests per second.
    double capacity = 1;

    friend auto operator<=>(const Receiver&, const Receiver&) = default;
  };

  // `receivers`: at least one. `weights`: the load of each slot, in any unit.
  KeyPlacement(std::vector<Receiver> receivers,
               const KeyTable& table,
               const std::vector<float>& weights);

  // Returns the first part of a range that is small enough to be assigned by
  // itself; at least one slot.
  SlotRange FirstPiece(const SlotRange& range) const;

  // Assigns the range and returns the receiver's index.
  std::size_t AssignRange(const SlotRange& range);

 private:
  double WeightOf(const SlotRange& range) const;

  const std::vector<Receiver> m_receivers;
  // Prefix sums of the weights: entry i is the sum of all slots before i, the
  // last entry the sum of all.
  std::vector<double> m_prefix_weights;
  // By receiver: the weight of the slots that it has or will get.
  std::vector<double> m_loads;
  double m_max_piece_weight = 0;
};

}  // namespace citrongrade
