#pragma once

#include <chrono>
#include <compare>
#include <optional>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"
#include "modules/state/records/testimony.h"

namespace citrongrade {

// A witness's answer to a CloseRequest.
struct CloseReply {
  MemberId holder;
  WitnessSetVersion version;
  // Empty while the witness can't testify.
  std::optional<Testimony> testimony;
  // Without a testimony: when to ask again; zero when that is not known.
  std::chrono::milliseconds retry_after{0};

  friend auto operator<=>(const CloseReply&, const CloseReply&) = default;
};

}  // namespace citrongrade
