#pragma once

#include "modules/protocol/record_codec.h"
#include "modules/transport/http_log_record_codec.h"

namespace citrongrade {

// RecordCodec for HttpPlatformLog.
class JsonLogRecordCodec final : public HttpLogRecordCodec {
 public:
  std::string Encode(const RecordId& id, const Record& record) const override {
    return RecordCodec::Encode(id, record);
  }
  LogEntry Decode(LogOffset offset, const std::string& text) const override {
    return RecordCodec::Decode(offset, text);
  }
};

}  // namespace citrongrade
