#pragma once

#include <stdexcept>

#include "modules/state/identifiers.h"

namespace citrongrade {

// The log refused or could not be reached: nothing was appended or read.
class LogUnavailableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// An append's answer was lost: the record may or may not stand in the log. The
// writer looks for its RecordId by reading before it says or tries anything.
class LogAnswerLostError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The offset asked for has passed out of the log's retention.
class LogRetentionPassedError : public std::runtime_error {
 public:
  LogRetentionPassedError(const char* what, LogOffset first_kept)
      : std::runtime_error(what), m_first_kept(first_kept) {}

  LogOffset first_kept() const { return m_first_kept; }

 private:
  LogOffset m_first_kept;
};

}  // namespace citrongrade
