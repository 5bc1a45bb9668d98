#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>

namespace citrongrade {

// The node's own settings. The platform's are in platform::SettingsFile.
struct RouterSettings {
  std::string settings_file;
  // IP address at which other nodes reach this one; empty: the address in the
  // settings file. It differs where addresses are translated.
  std::string published_ip;
  bool check_only = false;
  bool verbose = false;
  // Maximum log lines per second of each event.
  double log_failures_per_second = 10;
  double log_successes_per_second = 1;
  // How often the settings file is checked for changes; SIGHUP checks it at
  // once.
  std::chrono::milliseconds settings_check_interval{1000};
  // Whether callers compete for capacity, so that slots are kept for short
  // calls: "on", "off", or "auto", as the platform's settings file says.
  std::string contended_capacity = "auto";
  // Limit of a body in addition to that of the operators' configuration.
  std::size_t max_body_bytes = std::size_t{64} << 20U;

  friend auto operator<=>(const RouterSettings&,
                          const RouterSettings&) = default;
};

}  // namespace citrongrade
