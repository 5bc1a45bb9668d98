#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "modules/state/mesh/config_change.h"

namespace citrongrade {

// What a node that is behind asks another one, and the answer, as packed Cap'n
// Proto. Decoding throws MalformedMessageError.
class ConfigChangeCodec {
 public:
  // `version` of the configuration that the asking node has; 0: none.
  static std::string EncodeRequest(std::uint64_t version);
  static std::string Encode(const ConfigChange& change);

  static std::uint64_t DecodeRequest(std::string_view bytes);
  static ConfigChange Decode(std::string_view bytes);
};

}  // namespace citrongrade
