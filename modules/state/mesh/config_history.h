#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "modules/state/mesh/config_change.h"

namespace citrongrade {

// The configuration in force at a node and the few before it, so that others
// that are a version or two behind can be told the difference alone.
//
// How to use it: Add() each version as it comes into force, ChangeFrom() for
// whoever asks. An older version than the newest is refused: it never comes
// back. Thread-confined.
class ConfigHistory {
 public:
  using ConfigPtr = std::shared_ptr<const RoutingConfig>;

  // False, and nothing happens, unless it is newer than all before.
  bool Add(ConfigPtr config);

  // Nothing until the first one.
  const ConfigPtr& newest() const { return m_newest; }
  std::uint64_t version() const { return m_newest ? m_newest->version : 0; }

  // Whether the difference to that earlier version can still be told.
  bool Contains(std::uint64_t version) const;
  // What leads from `version` to the newest: everything, if that version is not
  // kept. Needs a newest one.
  ConfigChange ChangeFrom(std::uint64_t version) const;

 private:
  const RoutingConfig* FindPrevious(std::uint64_t version) const;

  static constexpr std::size_t kMaxPreviousVersions = 2;

  ConfigPtr m_newest;
  // The latest first.
  std::deque<ConfigPtr> m_previous;
};

}  // namespace citrongrade
