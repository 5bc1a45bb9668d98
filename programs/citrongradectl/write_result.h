#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "modules/state/apply_result.h"
#include "modules/state/identifiers.h"

namespace citrongrade {

// What became of a record that an operator wrote.
struct WriteResult {
  enum class Status : std::uint8_t {
    kAccepted,
    // It stands in the log and the replay refused it.
    kRejected,
    // The log took nothing: it is certain that it is not in force.
    kNotWritten,
    // The log may have taken it, and could not be read since.
    kUnknown,
  };

  Status status = Status::kNotWritten;
  RecordId id;
  // Where it was accepted or rejected.
  LogOffset offset;
  // With kRejected.
  ApplyResult refusal;
  // With kRejected: an append without an answer may still land. It would be
  // judged by what is in force then.
  bool copy_may_land = false;

  friend auto operator<=>(const WriteResult&, const WriteResult&) = default;
};

}  // namespace citrongrade
