#pragma once

#include <cstddef>

namespace citrongrade {

// Long work (uploads, extracts) is kept apart from short work (locks,
// dispatches, lookups), which would otherwise wait behind it.
enum class WorkClass { kShort, kLong };

inline constexpr std::size_t kWorkClassCount = 2;

}  // namespace citrongrade
