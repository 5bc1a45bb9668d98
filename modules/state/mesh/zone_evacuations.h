#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

namespace citrongrade {

// The availability zones whose targets operators have taken out of service.
//
// Nodes learn of it from the store or from each other, in any order. The
// position in the store's log tells which of two states is newer.
struct ZoneEvacuations {
  // One operator's order: begin or end the evacuation of a zone.
  struct Change {
    std::string zone;
    bool is_evacuated = false;
    // Log position after the record of the order.
    std::uint64_t position = 0;

    friend auto operator<=>(const Change&, const Change&) = default;
  };

  // Log position up to which all orders are included.
  std::uint64_t position = 0;
  std::set<std::string> zones;

  bool Contains(const std::string& zone) const { return zones.contains(zone); }
  // Returns the state after `change`. A change that is already included has no
  // effect.
  ZoneEvacuations After(const Change& change) const;

  friend auto operator<=>(const ZoneEvacuations&,
                          const ZoneEvacuations&) = default;
};

}  // namespace citrongrade
