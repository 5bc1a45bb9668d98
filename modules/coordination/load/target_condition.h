#pragma once

#include <cstdint>
#include <optional>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/target_notice.h"
#include "modules/coordination/load/target_signals.h"

namespace citrongrade {

// What one process of a target has said of itself, from whatever source, and
// since when: the requests that it takes, that it leaves, its load.
//
// Answers overtake each other, and work that began before a limit was named
// ends after it without naming it. So a limit is loosened or withdrawn only by
// the answer to a request that was sent after the last answer which named it; a
// stricter limit counts at once. That a target leaves is final.
//
// Only the answer to a run withdraws a limit by not naming it. The process that
// answers grants, releases and refused requests need not know the limit: on one
// platform each renewed grant ended it, and all waiting requests were sent.
//
// Thread-confined.
class TargetCondition {
 public:
  enum class Source : std::uint8_t {
    kNone,
    // An answer of the target.
    kAnswer,
    // Another node, which had been told by an earlier process of this one.
    kPeer,
  };

  // What the target answers.
  enum class AnswerKind : std::uint8_t {
    // A request that it ran.
    kRun,
    // A request that it refused to run.
    kRefusal,
    // A grant or a release of keys.
    kCommand,
  };

  struct Changes {
    bool is_rate_limit_changed = false;
    bool is_leaving_new = false;
    // The named limit can't be parsed, for the first time since one could.
    bool is_malformed_new = false;
    // An answer that can't withdraw the limit doesn't name it, for the first
    // time since it began.
    bool is_omission_new = false;

    friend auto operator<=>(const Changes&, const Changes&) = default;
  };

  explicit TargetCondition(const Clock& clock);

  // Forgets what an earlier process of the target has said.
  void BeginIncarnation(const TargetIncarnation& target);

  // `sent_at`: when the request was sent that the target answers.
  Changes OnAnswer(const TargetSignals& signals,
                   AnswerKind kind,
                   Clock::TimePoint sent_at);
  // Ignores what is of another process of the target. Its limit counts until
  // the target itself has answered.
  Changes OnNotice(const TargetNotice& notice);

  TargetNotice MakeNotice() const;

  std::optional<double> rate_limit() const { return m_rate_limit; }
  Source rate_limit_source() const { return m_rate_limit_source; }
  // Since when it has named a limit without a break, whatever its value.
  std::optional<Clock::TimePoint> limited_since() const {
    return m_limited_since;
  }
  // When it was first known to leave; empty if it isn't.
  std::optional<Clock::TimePoint> leaving_since() const {
    return m_leaving_since;
  }
  const std::optional<TargetLoad>& load() const { return m_load; }
  // Times that the limit was set, changed or withdrawn, over all processes of
  // the target.
  std::uint64_t rate_limit_changes() const { return m_rate_limit_changes; }
  // Answers that didn't name the limit in force and couldn't withdraw it, over
  // all processes of the target.
  std::uint64_t omissions() const { return m_omissions; }

 private:
  bool SetRateLimit(std::optional<double> rate_limit, Source source);
  // Counts an answer that doesn't name a limit and can't withdraw one. Returns
  // whether it is the first since the present limit began.
  bool CountOmission();
  // Returns false if it was known to leave.
  bool SetLeaving(Clock::TimePoint since);

  const Clock& m_clock;
  TargetIncarnation m_target;
  std::optional<double> m_rate_limit;
  Source m_rate_limit_source = Source::kNone;
  std::optional<Clock::TimePoint> m_limited_since;
  // When an answer last named the limit that counts.
  Clock::TimePoint m_rate_limit_confirmed_at;
  std::uint64_t m_rate_limit_changes = 0;
  std::uint64_t m_omissions = 0;
  bool m_has_omitted_limit = false;
  bool m_has_answered = false;
  bool m_is_malformed = false;
  std::optional<Clock::TimePoint> m_leaving_since;
  std::optional<TargetLoad> m_load;
};

}  // namespace citrongrade
