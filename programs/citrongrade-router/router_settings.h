#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>

namespace citrongrade {

// Settings of the node's own. What the platform says stands in its file.
struct RouterSettings {
  std::string settings_file;
  // Where other nodes reach this one; empty: at the settings file's address.
  // Another one where an address is translated on the way.
  std::string published_ip;
  bool check_only = false;
  bool verbose = false;
  // Log lines a second for each event.
  double log_failures_per_second = 10;
  double log_successes_per_second = 1;
  // How often the settings file is looked at for a change without a signal.
  std::chrono::milliseconds settings_check_interval{1000};
  // A longer body is refused: bodies are held whole.
  std::size_t max_body_bytes = std::size_t{8} << 20U;

  friend auto operator<=>(const RouterSettings&,
                          const RouterSettings&) = default;
};

}  // namespace citrongrade
