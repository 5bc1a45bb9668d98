#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/state/mesh/key_slot.h"
#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// Which of a service's receivers gets keys next: the one that will be least
// busy with them, whatever is planned already counted.
//
// How to use it: make one for all keys that are given out in one step, and
// Take() for each range. It counts what it gives, and need not be made anew: a
// leader that looked through the table for each of 1,600 runs planned for half
// a second, while the others took it for lost.
//
// A plan on paper: nothing takes effect by it. Kin: KeyAssigner, which records
// what goes to whom; KeyBalancer, which relieves busy owners.
class KeyPlacement {
 public:
  struct Receiver {
    std::string address;
    // Requests a second.
    double capacity = 1;

    friend auto operator<=>(const Receiver&, const Receiver&) = default;
  };

  // `receivers`: at least one. `weights`: the load of each slot, in any unit.
  KeyPlacement(std::vector<Receiver> receivers,
               const KeyTable& table,
               const std::vector<float>& weights);

  // The first part of a range that is small enough to be given out by itself;
  // one slot at least.
  SlotRange FirstPiece(const SlotRange& range) const;

  // The place, among the receivers, of the one that gets the range.
  std::size_t AssignRange(const SlotRange& range);

 private:
  double WeightOf(const SlotRange& range) const;

  const std::vector<Receiver> m_receivers;
  // Of all slots before each one, and of all.
  std::vector<double> m_prefix_weights;
  // By receiver: the weight of what it has or is to get.
  std::vector<double> m_loads;
  double m_max_piece_weight = 0;
};

}  // namespace citrongrade
