#pragma once

#include <string>

#include "modules/state/log_entry.h"

namespace citrongrade {

// How HttpPlatformLog writes records as text and reads them back.
class HttpLogRecordCodec {
 public:
  virtual ~HttpLogRecordCodec() = default;

  virtual std::string Encode(const RecordId& id,
                             const Record& record) const = 0;

  // Never fails: text that can't be read is an entry with an UnreadableRecord,
  // the same on every node.
  virtual LogEntry Decode(LogOffset offset, const std::string& text) const = 0;
};

}  // namespace citrongrade
