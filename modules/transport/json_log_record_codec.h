#pragma once

#include <string>

#include "modules/transport/http_log_record_codec.h"

namespace citrongrade {

// Log records as the JSON of RecordCodec.
class JsonLogRecordCodec final : public HttpLogRecordCodec {
 public:
  std::string Encode(const RecordId& id, const Record& record) const override;
  LogEntry Decode(LogOffset offset, const std::string& text) const override;
};

}  // namespace citrongrade
