#include "modules/transport/request_id_generator.h"

#include <spdlog/fmt/fmt.h>

#include <random>

namespace citrongrade {

namespace {

std::string MakePrefix() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}-", device(), device());
}

}  // namespace

RequestIdGenerator::RequestIdGenerator() : m_prefix(MakePrefix()) {}

std::string RequestIdGenerator::Next() {
  return m_prefix + std::to_string(m_next++);
}

}  // namespace citrongrade
