#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace citrongrade {

struct TargetSettings;

// How long each run takes, drawn from the settings' distribution with their
// seed. Thread-safe.
class ServiceTime {
 public:
  // `settings.service_time_shape` must be one that IsShape accepts.
  explicit ServiceTime(const TargetSettings& settings);
  ~ServiceTime();

  static bool IsShape(const std::string& name);

  std::chrono::microseconds Next();

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
