#pragma once

#include <chrono>
#include <compare>
#include <string>

namespace citrongrade {

// Flags and environment variables that all of citrongradectl's commands share.
struct CtlSettings {
  // "ip:port" of the platform's log.
  std::string log_address;
  std::string log_stream = "citrongrade";
  // Written into each change.
  std::string operator_name;
  // How long a command goes on trying.
  std::chrono::milliseconds timeout{11'000};
  bool json = false;

  friend auto operator<=>(const CtlSettings&, const CtlSettings&) = default;
};

}  // namespace citrongrade
