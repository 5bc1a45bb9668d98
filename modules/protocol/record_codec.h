#pragma once

#include <string>
#include <string_view>

#include "modules/state/log_entry.h"

namespace citrongrade {

// Log records as JSON text: one object with the record's id, its type and the
// type's fields. Reading is strict: an unknown field or a value out of bounds
// (SizeLimits) makes the record unreadable, on every node alike. A field that a
// later version needs therefore comes with a type of its own.
//
// Kin: MeshImageCodec, for what snapshot records carry.
class RecordCodec {
 public:
  // Throws RecordNotEncodableError.
  static std::string Encode(const RecordId& id, const Record& record);

  // Text that can't be read gives an UnreadableRecord with the reason, and with
  // the record's id as far as that could be read, so that its writer finds it.
  static LogEntry Decode(LogOffset offset, std::string_view text);
};

}  // namespace citrongrade
