#include "modules/transport/json_log_record_codec.h"

#include "modules/protocol/record_codec.h"

namespace citrongrade {

std::string JsonLogRecordCodec::Encode(const RecordId& id,
                                       const Record& record) const {
  return RecordCodec::Encode(id, record);
}

LogEntry JsonLogRecordCodec::Decode(LogOffset offset,
                                    const std::string& text) const {
  return RecordCodec::Decode(offset, text);
}

}  // namespace citrongrade
