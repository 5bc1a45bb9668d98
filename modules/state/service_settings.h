#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/key_rule.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// Effective settings of a workspace's service: its template with the
// workspace's parameters filled in. Built by ServiceSettingsCodec (protocol).
struct ServiceSettings {
  ServiceId id;
  // Versions of the two configuration entries that the settings were built
  // from.
  ConfigVersion template_version;
  ConfigVersion parameters_version;

  KeyRule key_rule;
  std::uint32_t slot_count = 1024;
  std::uint64_t hash_seed = 0;
  // Methods whose requests may run more than once, in upper case.
  std::vector<std::string> idempotent_methods = {"GET", "HEAD", "PUT", "DELETE",
                                                 "OPTIONS"};
  // Refuses non-idempotent requests without an Idempotency-Key.
  bool require_request_id = false;
  std::chrono::milliseconds default_deadline{10'000};
  std::chrono::milliseconds max_deadline{60'000};
  // How long a request id is remembered; callers must not resend after it. At
  // least max_deadline, or an id would be forgotten while its request still
  // runs.
  std::chrono::milliseconds resend_horizon{60'000};
  std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
  // Requests with a body of at least this size count as long-running.
  std::uint64_t long_work_body_bytes = 1024ULL * 1024;
  // Requests of this service that may be queued at one node.
  std::uint32_t max_queued = 256;
  // Planned slot moves that a node may start per minute; 0 disables them.
  std::uint32_t moves_per_minute = 6;
  // Load above the mean, in percent, below which no slot is moved.
  std::uint32_t move_band_percent = 15;

  bool IsSharded() const { return key_rule.source != KeyRule::Source::kNone; }

  friend auto operator<=>(const ServiceSettings&,
                          const ServiceSettings&) = default;
};

}  // namespace citrongrade
