#pragma once

#include <cstdint>
#include <string_view>

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

constexpr std::string_view ToString(CallKind kind) {
  switch (kind) {
    case CallKind::kRead:
      return "read";
    case CallKind::kProtected:
      return "protected call";
    case CallKind::kUpload:
      return "upload";
    case CallKind::kDownload:
      return "download";
    case CallKind::kDirectRead:
      return "direct read";
  }
  return "unknown";
}

}  // namespace citrongrade
