#include "modules/coordination/load/target_condition.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

bool IsStricter(const std::optional<double>& one,
                const std::optional<double>& other) {
  return one && (!other || *one < *other);
}

}  // namespace

TargetCondition::TargetCondition(const Clock& clock) : m_clock(clock) {}

void TargetCondition::BeginIncarnation(const TargetIncarnation& target) {
  m_target = target;
  m_rate_limit.reset();
  m_rate_limit_source = Source::kNone;
  m_limited_since.reset();
  m_rate_limit_confirmed_at = Clock::TimePoint();
  m_has_answered = false;
  m_has_omitted_limit = false;
  m_is_malformed = false;
  m_leaving_since.reset();
  m_load.reset();
}

bool TargetCondition::SetRateLimit(std::optional<double> rate_limit,
                                   Source source) {
  if (rate_limit && !m_rate_limit)
    m_limited_since = m_clock.Now();
  if (!rate_limit) {
    m_limited_since.reset();
    m_has_omitted_limit = false;
  }
  const bool is_changed = rate_limit != m_rate_limit;
  if (is_changed)
    ++m_rate_limit_changes;
  m_rate_limit = rate_limit;
  m_rate_limit_source = rate_limit ? source : Source::kNone;
  return is_changed;
}

bool TargetCondition::CountOmission() {
  if (!m_rate_limit)
    return false;
  ++m_omissions;
  return !std::exchange(m_has_omitted_limit, true);
}

bool TargetCondition::SetLeaving(Clock::TimePoint since) {
  const bool is_new = !m_leaving_since;
  m_leaving_since = is_new ? since : std::min(since, *m_leaving_since);
  return is_new;
}

TargetCondition::Changes TargetCondition::OnAnswer(const TargetSignals& signals,
                                                   AnswerKind kind,
                                                   Clock::TimePoint sent_at) {
  Changes changes;
  const Clock::TimePoint now = m_clock.Now();
  if (signals.load)
    m_load = signals.load;
  if (signals.is_leaving)
    changes.is_leaving_new = SetLeaving(now);
  const bool is_malformed = !signals.malformed_rate_limit.empty();
  changes.is_malformed_new = is_malformed && !m_is_malformed;
  m_is_malformed = is_malformed;
  if (is_malformed)
    return changes;
  if (!signals.rate_limit && kind != AnswerKind::kRun) {
    changes.is_omission_new = CountOmission();
    return changes;
  }
  const bool is_looser = IsStricter(m_rate_limit, signals.rate_limit);
  if (is_looser && sent_at < m_rate_limit_confirmed_at)
    return changes;
  changes.is_rate_limit_changed =
      SetRateLimit(signals.rate_limit, Source::kAnswer);
  m_has_answered = true;
  if (signals.rate_limit)
    m_rate_limit_confirmed_at = now;
  return changes;
}

TargetCondition::Changes TargetCondition::OnNotice(const TargetNotice& notice) {
  Changes changes;
  if (!m_target.is_known() || notice.target != m_target)
    return changes;
  if (notice.leaving_for)
    changes.is_leaving_new = SetLeaving(m_clock.Now() - *notice.leaving_for);
  if (!m_has_answered && IsStricter(notice.rate_limit, m_rate_limit))
    changes.is_rate_limit_changed =
        SetRateLimit(notice.rate_limit, Source::kPeer);
  return changes;
}

TargetNotice TargetCondition::MakeNotice() const {
  TargetNotice notice;
  notice.target = m_target;
  notice.rate_limit = m_rate_limit;
  if (m_leaving_since) {
    notice.leaving_for =
        std::chrono::floor<milliseconds>(m_clock.Now() - *m_leaving_since);
  }
  return notice;
}

}  // namespace citrongrade
