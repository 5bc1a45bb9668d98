#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

struct TargetIncarnation;

// A process of a target that has said to its node that it leaves. Hashes stand
// for names: the record in the store has little room left, and many targets may
// leave at once.
struct DepartedTarget {
  static std::uint64_t HashId(const std::string& target_id);
  static DepartedTarget From(const TargetIncarnation& target);

  std::uint64_t id_hash = 0;
  // TargetIncarnation::started_unix_ms; 0 if unknown.
  std::int64_t started_unix_ms = 0;

  friend auto operator<=>(const DepartedTarget&,
                          const DepartedTarget&) = default;
};

// The same, and the mesh address of its node.
struct TargetDeparture {
  static std::uint32_t HashNode(const std::string& address);

  // Of two nodes with the same hash, each hears of both's departures, which
  // differ in the ids of their targets.
  std::uint32_t node_hash = 0;
  DepartedTarget target;

  friend auto operator<=>(const TargetDeparture&,
                          const TargetDeparture&) = default;
};

}  // namespace citrongrade
