#include "modules/state/mesh/config_history.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citrongrade {

bool ConfigHistory::Add(ConfigPtr config) {
  assert(config && "config must not be null");
  if (config->version <= version())
    return false;
  if (m_newest)
    m_previous.push_front(std::move(m_newest));
  if (m_previous.size() > kMaxPreviousVersions)
    m_previous.pop_back();
  m_newest = std::move(config);
  return true;
}

bool ConfigHistory::Contains(std::uint64_t version) const {
  return FindPrevious(version) != nullptr;
}

ConfigChange ConfigHistory::ChangeFrom(std::uint64_t version) const {
  assert(m_newest && "no configuration was added yet");
  const RoutingConfig* before = FindPrevious(version);
  return before == nullptr ? ConfigChange::Full(*m_newest)
                           : ConfigChange::Between(*before, *m_newest);
}

const RoutingConfig* ConfigHistory::FindPrevious(std::uint64_t version) const {
  const auto found = std::find_if(
      m_previous.begin(), m_previous.end(),
      [version](const ConfigPtr& one) { return one->version == version; });
  return found == m_previous.end() ? nullptr : found->get();
}

}  // namespace citrongrade
