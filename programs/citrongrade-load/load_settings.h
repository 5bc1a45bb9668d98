#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/transport/http_address.h"
#include "programs/citrongrade-load/key_place.h"

namespace citrongrade {

// Flags and environment variables of citrongrade-load.
struct LoadSettings {
  // Caller addresses of nodes; a caller starts at one of them.
  std::vector<HttpAddress> nodes;
  // "workspace/service".
  std::string service = "recife/sorteio";
  KeyPlace key_place;

  double calls_per_second = 100;
  std::chrono::milliseconds duration{10000};
  // Every `burst_every` the rate is multiplied for `burst`; 0: no bursts.
  std::chrono::milliseconds burst_every{0};
  std::chrono::milliseconds burst{1000};
  double burst_factor = 5;
  std::uint64_t seed = 1;

  std::size_t keys = 1000;
  // Zipf exponents; 0: all alike.
  double key_skew = 0;
  std::size_t callers = 100;
  double caller_skew = 0;

  // Shares of the calls, the rest being small reads.
  double protected_share = 0.3;
  double upload_share = 0;
  double download_share = 0;
  std::size_t read_bytes = 256;
  std::size_t upload_bytes = 1 << 20;
  std::size_t download_bytes = 1 << 20;

  std::chrono::milliseconds deadline{5000};
  bool resends = true;
  unsigned max_attempts = 5;
  bool states_first_attempt = true;
  unsigned senders = 128;
  // A success without an outcome counts as done: for calls to targets with no
  // system in between.
  bool trusts_status = false;

  // Reads that go straight to a target, for comparison.
  double direct_share = 0;
  std::vector<HttpAddress> direct;

  // Where targets report their runs; port 0: the runs are read from `targets`.
  HttpAddress collect_address{"127.0.0.1", 0};
  std::vector<HttpAddress> targets;
  // Workers that share the work, for the imbalance; 0: those that were seen.
  std::size_t workers = 0;
  // How long runs may still be reported after the last answer.
  std::chrono::milliseconds settle{500};
  bool json = false;

  friend auto operator<=>(const LoadSettings&, const LoadSettings&) = default;
};

}  // namespace citrongrade
