#pragma once

#include <chrono>
#include <functional>
#include <optional>

#include "modules/coordination/clock.h"
#include "modules/protocol/record_id_generator.h"
#include "modules/state/log_entry.h"
#include "programs/citrongradectl/write_result.h"

namespace citrongrade {

class MeshReader;
class PlatformLog;

// Appends an operator's record and reads the log back until it is certain what
// became of it.
//
// For records that can be accepted once only: a ConfigRecord names the version
// that it replaces, a ForgetRecord the incarnation that it ends. So a record
// whose answer was lost, and which was not found by reading, is appended again:
// if the first one lands later, it is refused.
class RecordWriter {
 public:
  using Pause = std::function<void(std::chrono::milliseconds)>;

  // All outlive the writer. `pause` waits between attempts.
  RecordWriter(PlatformLog& log,
               MeshReader& reader,
               const Clock& clock,
               RecordIdGenerator& ids,
               Pause pause);

  // Goes on for `timeout` at most, and a last attempt.
  WriteResult Write(const Record& record, std::chrono::milliseconds timeout);

 private:
  struct Attempts {
    RecordId id;
    // Appends that stand in the log for certain, and that may.
    int appended = 0;
    int unanswered = 0;
  };

  void Append(const Record& record, Attempts& attempts);
  // False while the log can't be read.
  bool ReadBack();
  std::optional<WriteResult> FindResult(const Attempts& attempts) const;

  PlatformLog* m_log;
  MeshReader* m_reader;
  const Clock* m_clock;
  RecordIdGenerator* m_ids;
  Pause m_pause;
};

}  // namespace citrongrade
