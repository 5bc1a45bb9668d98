#include "modules/transport/mesh/work_times.h"

namespace citrongrade {

std::string WorkTimes::ToText() const {
  std::string text;
  const auto add = [&text](const char* name, std::chrono::milliseconds time) {
    text += text.empty() ? "" : " ";
    text += name;
    text += std::to_string(time.count());
  };
  add("connect_ms=", connect);
  add("way_ms=", way);
  add("body_ms=", body);
  add("queue_ms=", queue);
  add("door_ms=", door);
  add("target_ms=", target);
  return text;
}

}  // namespace citrongrade
