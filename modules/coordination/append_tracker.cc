#include "modules/coordination/append_tracker.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>

#include "modules/coordination/log_writer.h"
#include "modules/state/apply_result.h"

namespace citrongrade {

namespace {

// A node has a handful of appends under way; this covers a long outage.
constexpr std::size_t kMaxEntries = 4096;

std::string ToHex(std::uint64_t value) {
  static constexpr std::array<char, 17> kDigits = {"0123456789abcdef"};
  std::string text(16, '0');
  for (std::size_t i = text.size(); i > 0; --i) {
    text[i - 1] = kDigits[value & 0xf];
    value >>= 4U;
  }
  return text;
}

}  // namespace

AppendTracker::AppendTracker(LogWriter& writer, std::uint64_t random_seed)
    : m_writer(&writer), m_random(random_seed) {}

RecordId AppendTracker::Append(const Record& record, Clock::TimePoint now) {
  if (m_entries.size() >= kMaxEntries) {
    ForgetOldest();
  }
  RecordId id = MakeId();
  m_entries.emplace(id, Entry{now, Outcome::kUnknown});
  ++m_appended;
  m_writer->Append(id, record);
  return id;
}

void AppendTracker::OnReadBack(const RecordId& id, const ApplyResult& result) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return;
  }
  found->second.outcome =
      result.accepted() ? Outcome::kAccepted : Outcome::kRejected;
  if (!result.accepted()) {
    ++m_rejected;
  }
}

void AppendTracker::OnFailed(const RecordId& id) {
  const auto found = m_entries.find(id);
  if (found != m_entries.end() && found->second.outcome == Outcome::kUnknown) {
    found->second.outcome = Outcome::kFailed;
  }
}

AppendTracker::Outcome AppendTracker::OutcomeOf(const RecordId& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? Outcome::kUnknown : found->second.outcome;
}

Clock::TimePoint AppendTracker::AppendedAt(const RecordId& id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? Clock::TimePoint::min()
                                  : found->second.appended_at;
}

bool AppendTracker::IsOverdue(const RecordId& id,
                              Clock::TimePoint now,
                              Clock::Duration patience) const {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return true;
  }
  return found->second.outcome == Outcome::kUnknown &&
         now - found->second.appended_at >= patience;
}

RecordId AppendTracker::MakeId() {
  return RecordId(ToHex(m_random()) + ToHex(m_random()));
}

void AppendTracker::ForgetOldest() {
  const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second.appended_at <
                                                right.second.appended_at;
                                       });
  m_entries.erase(oldest);
}

}  // namespace citrongrade
