#pragma once

#include <stdexcept>
#include <string_view>

#include "modules/transport/target_announcement.h"

namespace citrongrade {

// An announcement lacks a field, or one has a wrong type or value.
class InvalidAnnouncementError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the JSON body of "POST /v1/targets".
class TargetAnnouncementCodec {
 public:
  // Throws InvalidAnnouncementError.
  static TargetAnnouncement Decode(std::string_view text);
};

std::string_view ToString(TargetAnnouncement::State state);

}  // namespace citrongrade
