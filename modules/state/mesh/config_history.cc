#include "modules/state/mesh/config_history.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citrongrade {

bool ConfigHistory::Add(Version config) {
  assert(config && "a version is a configuration");
  if (config->version <= version())
    return false;
  if (m_newest)
    m_before.push_front(std::move(m_newest));
  if (m_before.size() > kMaxPreviousVersions)
    m_before.pop_back();
  m_newest = std::move(config);
  return true;
}

bool ConfigHistory::Contains(std::uint64_t version) const {
  return FindBefore(version) != nullptr;
}

ConfigChange ConfigHistory::ChangeFrom(std::uint64_t version) const {
  assert(m_newest && "there is no version to lead to");
  const RoutingConfig* before = FindBefore(version);
  return before == nullptr ? ConfigChange::Whole(*m_newest)
                           : ConfigChange::Between(*before, *m_newest);
}

const RoutingConfig* ConfigHistory::FindBefore(std::uint64_t version) const {
  const auto found = std::find_if(
      m_before.begin(), m_before.end(),
      [version](const Version& one) { return one->version == version; });
  return found == m_before.end() ? nullptr : found->get();
}

}  // namespace citrongrade
