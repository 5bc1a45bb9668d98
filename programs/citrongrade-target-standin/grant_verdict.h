#pragma once

#include <cstdint>
#include <string_view>

namespace citrongrade {

enum class GrantVerdict : std::uint8_t { kGood, kMissing, kOldEpoch, kLapsed };

constexpr std::string_view ToString(GrantVerdict verdict) {
  switch (verdict) {
    case GrantVerdict::kGood:
      return "good";
    case GrantVerdict::kMissing:
      return "grant-missing";
    case GrantVerdict::kOldEpoch:
      return "epoch-old";
    case GrantVerdict::kLapsed:
      return "lease-over";
  }
  return "unknown";
}

}  // namespace citrongrade
