#pragma once

#include <cstddef>

namespace citrongrade {

// Class of a request by its expected service time. Long requests (uploads,
// extracts) are kept apart from short ones (locks, dispatches, lookups), which
// would otherwise wait behind them.
enum class WorkClass { kShort, kLong };

inline constexpr std::size_t kWorkClassCount = 2;

}  // namespace citrongrade
