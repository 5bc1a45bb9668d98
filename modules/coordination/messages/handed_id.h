#pragma once

#include <compare>
#include <optional>

#include "modules/coordination/messages/registered_id.h"
#include "modules/coordination/stored_answer.h"

namespace citrongrade {

// A request id that moves with its slot, and its answer if that is kept.
struct HandedId {
  RegisteredId id;
  std::optional<StoredAnswer> answer;

  friend auto operator<=>(const HandedId&, const HandedId&) = default;
};

}  // namespace citrongrade
