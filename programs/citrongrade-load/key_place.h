#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace citrongrade {

// Where a service's template says that requests carry their key.
struct KeyPlace {
  enum class Kind : std::uint8_t { kNone, kHeader, kPath, kQuery };

  Kind kind = Kind::kQuery;
  // Header or query field.
  std::string name = "key";

  // Reads "none", "path", "header:NAME" or "query:NAME". Throws SettingsError.
  static KeyPlace Parse(const std::string& text);

  friend auto operator<=>(const KeyPlace&, const KeyPlace&) = default;
};

}  // namespace citrongrade
