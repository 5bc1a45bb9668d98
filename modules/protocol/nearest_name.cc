#include "modules/protocol/nearest_name.h"

#include <algorithm>
#include <cstddef>

namespace citrongrade {

namespace {

// Names are compared letter by letter with each other, so long ones, which
// can't be a known name, are left out.
constexpr std::size_t kMaxComparedBytes = 64;

using Row = std::vector<std::size_t>;

// Edit distance with swaps of neighbours (optimal string alignment).
std::size_t Distance(std::string_view left, std::string_view right) {
  Row before_previous(right.size() + 1);
  Row previous(right.size() + 1);
  Row current(right.size() + 1);
  for (std::size_t j = 0; j <= right.size(); ++j) {
    previous[j] = j;
  }
  for (std::size_t i = 1; i <= left.size(); ++i) {
    current[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t change = left[i - 1] == right[j - 1] ? 0 : 1;
      current[j] = std::min(
          {previous[j] + 1, current[j - 1] + 1, previous[j - 1] + change});
      const bool swapped = i > 1 && j > 1 && left[i - 1] == right[j - 2] &&
                           left[i - 2] == right[j - 1];
      if (swapped) {
        current[j] = std::min(current[j], before_previous[j - 2] + 1);
      }
    }
    std::swap(before_previous, previous);
    std::swap(previous, current);
  }
  return previous[right.size()];
}

}  // namespace

std::string NearestName::Find(std::string_view name,
                              const std::vector<std::string>& known) {
  if (name.size() > kMaxComparedBytes) {
    return {};
  }
  std::size_t best = std::max<std::size_t>(1, name.size() / 3) + 1;
  std::string nearest;
  for (const std::string& candidate : known) {
    const std::size_t distance = Distance(name, candidate);
    if (distance < best) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace citrongrade
