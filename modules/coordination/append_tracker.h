#pragma once

#include <cstdint>
#include <map>
#include <random>

#include "modules/coordination/clock.h"
#include "modules/state/log_entry.h"

namespace citrongrade {

class LogWriter;
struct ApplyResult;

// The records that this node has appended and what became of each. An append
// counts as done only when it is read back from the log; until then its outcome
// is unknown, however long ago it was sent.
class AppendTracker {
 public:
  enum class Outcome : std::uint8_t {
    // It may stand in the log, or come to stand in it.
    kUnknown,
    // It surely did not and will not take effect.
    kFailed,
    kAccepted,
    // It stands in the log and the replay rejects it.
    kRejected,
  };

  // The writer outlives the tracker.
  AppendTracker(LogWriter& writer, std::uint64_t random_seed);

  RecordId Append(const Record& record, Clock::TimePoint now);

  // For every entry read; those of other writers are ignored.
  void OnReadBack(const RecordId& id, const ApplyResult& result);
  void OnFailed(const RecordId& id);

  Outcome OutcomeOf(const RecordId& id) const;
  // TimePoint::min() for an id that this tracker did not make, or forgot.
  Clock::TimePoint AppendedAt(const RecordId& id) const;
  // It was appended longer than `patience` ago, and its outcome is unknown.
  bool IsOverdue(const RecordId& id,
                 Clock::TimePoint now,
                 Clock::Duration patience) const;

  std::uint64_t appended() const { return m_appended; }
  std::uint64_t rejected() const { return m_rejected; }

 private:
  struct Entry {
    Clock::TimePoint appended_at;
    Outcome outcome = Outcome::kUnknown;
  };

  RecordId MakeId();
  void ForgetOldest();

  LogWriter* m_writer;
  std::mt19937_64 m_random;
  std::map<RecordId, Entry> m_entries;
  std::uint64_t m_appended = 0;
  std::uint64_t m_rejected = 0;
};

}  // namespace citrongrade
