#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citrongrade {

// The load of a target, as it states it.
struct TargetLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t concurrency = 0;
  // How long work takes at its host now; 100 is as usual.
  std::uint32_t service_time_percent = 100;

  friend auto operator<=>(const TargetLoad&, const TargetLoad&) = default;
};

// What a target says of itself in one of its answers.
struct TargetSignals {
  // Requests a second that it takes from all nodes together. Empty if it names
  // no limit.
  std::optional<double> rate_limit;
  // The limit that it names can't be parsed: it is neither set nor withdrawn.
  // Empty otherwise.
  std::string malformed_rate_limit;
  // The target leaves and wants no new requests.
  bool is_leaving = false;
  // Empty if it states none, or none that can be parsed.
  std::optional<TargetLoad> load;
  // Names of headers by which the target may say something that this node
  // doesn't know.
  std::vector<std::string> unknown_headers;

  friend auto operator<=>(const TargetSignals&, const TargetSignals&) = default;
};

}  // namespace citrongrade
