#pragma once

#include <chrono>
#include <compare>
#include <string>

#include "modules/transport/http_address.h"

namespace citrongrade {

// What an operator sets for one node, by flags or CITRONGRADE_* variables.
struct NodeSettings {
  // Identity of the host across restarts.
  std::string node_id;
  std::string zone;
  HttpAddress caller_address;
  HttpAddress control_address;
  HttpAddress data_address;
  HttpAddress peer_address;
  HttpAddress log_address;
  std::string log_stream = "citrongrade";
  // Callers' connections served at once; each holds a thread.
  unsigned caller_threads = 256;
  // Longest time that a stop waits for slots to be handed over and for work in
  // flight.
  std::chrono::milliseconds drain_timeout{30'000};
  bool verbose = false;

  friend auto operator<=>(const NodeSettings&, const NodeSettings&) = default;
};

}  // namespace citrongrade
