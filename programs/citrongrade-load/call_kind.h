#pragma once

#include <cstdint>

namespace citrongrade {

enum class CallKind : std::uint8_t {
  kRead,
  // A POST that must run at most once.
  kProtected,
  kUpload,
  kDownload,
  // A read that goes straight to a target.
  kDirectRead,
};

}  // namespace citrongrade
