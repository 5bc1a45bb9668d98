#pragma once

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace citrongrade {

inline constexpr const char* kLogPattern =
    "time=%Y-%m-%dT%H:%M:%S.%e level=%l %v";

// One line of key=value pairs for each event, on standard error: standard
// output is left to results.
inline void SetUpLogging() {
  auto logger = spdlog::stderr_logger_mt("citrongrade");
  logger->set_pattern(kLogPattern);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace citrongrade
