#include "programs/citrongradectl/record_writer.h"

#include <utility>
#include <vector>

#include "modules/coordination/log_errors.h"
#include "modules/coordination/platform_log.h"
#include "programs/citrongradectl/mesh_reader.h"
#include "programs/citrongradectl/record_outcome.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kPauseBetweenAttempts{200};

}  // namespace

RecordWriter::RecordWriter(PlatformLog& log,
                           MeshReader& reader,
                           const Clock& clock,
                           RecordIdGenerator& ids,
                           Pause pause)
    : m_log(&log),
      m_reader(&reader),
      m_clock(&clock),
      m_ids(&ids),
      m_pause(std::move(pause)) {}

WriteResult RecordWriter::Write(const Record& record,
                                std::chrono::milliseconds timeout) {
  const Clock::TimePoint deadline = m_clock->Now() + timeout;
  Attempts attempts;
  attempts.id = m_ids->Next();
  m_reader->Watch(attempts.id);
  while (true) {
    if (attempts.appended == 0) {
      Append(record, attempts);
    }
    if (ReadBack()) {
      const std::optional<WriteResult> result = FindResult(attempts);
      if (result.has_value()) {
        return *result;
      }
    }
    if (m_clock->Now() >= deadline) {
      break;
    }
    m_pause(kPauseBetweenAttempts);
  }
  WriteResult result;
  result.id = attempts.id;
  const bool may_stand = attempts.appended + attempts.unanswered > 0;
  result.status = may_stand ? WriteResult::Status::kUnknown
                            : WriteResult::Status::kNotWritten;
  return result;
}

void RecordWriter::Append(const Record& record, Attempts& attempts) {
  try {
    m_log->Append(attempts.id, record);
    ++attempts.appended;
  } catch (const LogAnswerLostError&) {
    ++attempts.unanswered;
  } catch (const LogUnavailableError&) {
    // Nothing was appended; the next attempt may be.
  }
}

bool RecordWriter::ReadBack() {
  try {
    m_reader->CatchUp();
    return true;
  } catch (const LogUnavailableError&) {
    return false;
  }
}

std::optional<WriteResult> RecordWriter::FindResult(
    const Attempts& attempts) const {
  const std::vector<RecordOutcome> outcomes =
      m_reader->FindOutcomes(attempts.id);
  if (outcomes.empty()) {
    return std::nullopt;
  }
  WriteResult result;
  result.id = attempts.id;
  for (const RecordOutcome& outcome : outcomes) {
    if (outcome.result.accepted()) {
      result.status = WriteResult::Status::kAccepted;
      result.offset = outcome.offset;
      return result;
    }
  }
  result.status = WriteResult::Status::kRejected;
  result.offset = outcomes.front().offset;
  result.refusal = outcomes.front().result;
  const int written = attempts.appended + attempts.unanswered;
  result.copy_may_land = static_cast<int>(outcomes.size()) < written;
  return result;
}

}  // namespace citrongrade
