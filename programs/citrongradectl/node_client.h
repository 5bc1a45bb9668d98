#pragma once

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "modules/state/identifiers.h"

namespace citrongrade {

// Asks one node over its control address. Each call opens a connection.
class NodeClient {
 public:
  // `control_address`: "ip:port". `timeout` is for each answer.
  NodeClient(std::string control_address, std::chrono::milliseconds timeout);

  // Throw NodeUnreachableError.
  nlohmann::ordered_json Dump() const;
  // Offset of the record that the node applies next.
  LogOffset NextOffset() const;
  bool IsReady() const;
  void Drain() const;

 private:
  std::string Call(const std::string& method,
                   const std::string& path,
                   int expected_status) const;

  std::string m_control_address;
  std::chrono::milliseconds m_timeout;
};

}  // namespace citrongrade
