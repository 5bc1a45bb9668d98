#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "modules/transport/http_address.h"

namespace citrongrade {

// Flags and environment variables of citrongrade-target-standin.
struct TargetSettings {
  HttpAddress listen_address{"127.0.0.1", 0};
  // The node's control address; port 0: announces itself to nobody.
  HttpAddress node_address{"127.0.0.1", 0};
  std::chrono::milliseconds announce_interval{1000};
  // How runs name this target; its address when empty.
  std::string name;
  std::string workspace = "recife";
  std::string service = "sorteio";
  unsigned slots = 12;
  unsigned connections = 110;
  // Requests that wait for a slot; those above are shed.
  unsigned queue_length = 4;
  bool checks_grants = true;

  std::uint64_t service_time_us = 2000;
  // "fixed", "exponential" or "lognormal".
  std::string service_time_shape = "exponential";
  // Share of long work among the short.
  double long_share = 0;
  std::uint64_t long_time_us = 200000;
  std::uint64_t seed = 1;

  // Refuses work for so long after its start, then is slow by `cold_factor`,
  // falling to 1 over `cold`.
  std::chrono::milliseconds start_delay{0};
  std::chrono::milliseconds cold{0};
  double cold_factor = 5;

  // Collector of run starts; port 0: none.
  HttpAddress report_runs_to{"127.0.0.1", 0};
  std::size_t max_run_records = 200000;

  friend auto operator<=>(const TargetSettings&,
                          const TargetSettings&) = default;
};

}  // namespace citrongrade
