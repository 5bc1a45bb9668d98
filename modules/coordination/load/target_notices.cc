#include "modules/coordination/load/target_notices.h"

#include <algorithm>
#include <chrono>

namespace citrongrade {

TargetNotices::TargetNotices(const Clock& clock) : m_clock(clock) {}

void TargetNotices::OnNotice(const std::string& address,
                             const TargetNotice& notice) {
  Entry& entry = m_notices[address];
  if (entry.notice.target != notice.target)
    entry.leaving_since.reset();
  entry.notice = notice;
  if (!notice.leaving_for)
    return;
  const Clock::TimePoint since = m_clock.Now() - *notice.leaving_for;
  entry.leaving_since = std::min(since, entry.leaving_since.value_or(since));
}

void TargetNotices::OnAnswerWithoutNotice(const std::string& address) {
  const auto found = m_notices.find(address);
  if (found == m_notices.end())
    return;
  found->second.notice.rate_limit.reset();
  found->second.notice.is_paced = false;
  if (!found->second.leaving_since)
    m_notices.erase(found);
}

std::optional<TargetNotice> TargetNotices::Find(
    const std::string& address) const {
  const auto found = m_notices.find(address);
  if (found == m_notices.end())
    return std::nullopt;
  TargetNotice notice = found->second.notice;
  if (found->second.leaving_since) {
    notice.leaving_for = std::chrono::floor<std::chrono::milliseconds>(
        m_clock.Now() - *found->second.leaving_since);
  }
  return notice;
}

bool TargetNotices::HasLeft(const std::string& address,
                            const TargetIncarnation& target,
                            Clock::Duration period) const {
  const auto found = m_notices.find(address);
  return found != m_notices.end() && found->second.notice.target == target &&
         found->second.leaving_since &&
         m_clock.Now() - *found->second.leaving_since >= period;
}

void TargetNotices::RemoveIf(
    const std::function<bool(const std::string& address)>& is_gone) {
  std::erase_if(m_notices,
                [&is_gone](const auto& entry) { return is_gone(entry.first); });
}

}  // namespace citrongrade
