#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "modules/state/mesh/config_change.h"

namespace citrongrade {

// Keeps a node's configuration in force and the few versions before it, so that
// nodes that are a version or two behind can be sent only the difference.
//
// Call Add() with each version as it comes into force, and ChangeFrom() for
// each node that asks. Versions older than the newest are refused, so that the
// configuration never goes back. Use from one thread only.
class ConfigHistory {
 public:
  using ConfigPtr = std::shared_ptr<const RoutingConfig>;

  // Returns false and changes nothing unless the version is newer than all
  // before.
  bool Add(ConfigPtr config);

  // Null before the first Add().
  const ConfigPtr& newest() const { return m_newest; }
  std::uint64_t version() const { return m_newest ? m_newest->version : 0; }

  // Whether that earlier version is still kept, so that ChangeFrom() returns
  // only the difference.
  bool Contains(std::uint64_t version) const;
  // The change from `version` to the newest one, or the full configuration if
  // `version` is not kept. Call only after the first Add().
  ConfigChange ChangeFrom(std::uint64_t version) const;

 private:
  const RoutingConfig* FindPrevious(std::uint64_t version) const;

  static constexpr std::size_t kMaxPreviousVersions = 2;

  ConfigPtr m_newest;
  // Versions before the newest, latest first.
  std::deque<ConfigPtr> m_previous;
};

}  // namespace citrongrade
