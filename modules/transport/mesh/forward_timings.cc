#include "modules/transport/mesh/forward_timings.h"

namespace citrongrade {

std::string ForwardTimings::ToLogFields() const {
  std::string text;
  const auto add = [&text](const char* name, std::chrono::milliseconds time) {
    text += text.empty() ? "" : " ";
    text += name;
    text += std::to_string(time.count());
  };
  add("connect_ms=", connect);
  add("way_ms=", transit);
  add("body_ms=", body);
  add("queue_ms=", queue);
  add("door_ms=", target_connect);
  add("target_ms=", target);
  return text;
}

}  // namespace citrongrade
