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

// One workspace's service as the nodes run it: its template with the
// workspace's parameters filled in. Made by ServiceSettingsCodec (protocol).
struct ServiceSettings {
  ServiceId id;
  // Versions of the two entries it was made of.
  ConfigVersion template_version;
  ConfigVersion parameters_version;

  KeyRule key_rule;
  std::uint32_t slot_count = 1024;
  std::uint64_t hash_seed = 0;
  // Methods whose requests may run more than once, in upper case.
  std::vector<std::string> idempotent_methods = {"GET", "HEAD", "PUT", "DELETE",
                                                 "OPTIONS"};
  // A non-idempotent request without an Idempotency-Key is refused.
  bool require_request_id = false;
  std::chrono::milliseconds default_deadline{10'000};
  std::chrono::milliseconds max_deadline{60'000};
  // How long an id is remembered; callers don't resend after it. No shorter
  // than max_deadline, or an id would be forgotten while its request runs.
  std::chrono::milliseconds resend_horizon{60'000};
  std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
  // Bodies from here on count as long work.
  std::uint64_t long_work_body_bytes = 1024ULL * 1024;
  // Work that waits for this service at one node, in requests.
  std::uint32_t max_queued = 256;
  // Planned moves a minute that a node may start; 0: none.
  std::uint32_t moves_per_minute = 6;
  // Excess load over the mean, in percent, below which no slot is moved.
  std::uint32_t move_band_percent = 15;

  bool IsSharded() const { return key_rule.source != KeyRule::Source::kNone; }

  friend auto operator<=>(const ServiceSettings&,
                          const ServiceSettings&) = default;
};

}  // namespace citrongrade
