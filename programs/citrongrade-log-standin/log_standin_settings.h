#pragma once

#include <compare>

#include "modules/transport/http_address.h"
#include "programs/citrongrade-log-standin/log_faults.h"

namespace citrongrade {

// Flags and environment variables of citrongrade-log-standin.
struct LogStandinSettings {
  HttpAddress listen_address{"127.0.0.1", 0};
  // Each reader that waits holds a thread.
  unsigned threads = 128;
  LogFaults faults;

  friend auto operator<=>(const LogStandinSettings&,
                          const LogStandinSettings&) = default;
};

}  // namespace citrongrade
