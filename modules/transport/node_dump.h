#pragma once

#include <optional>
#include <string>

#include "modules/coordination/coordinator_dump.h"
#include "modules/transport/data_rpc_client.h"
#include "modules/transport/target_dispatcher.h"

namespace citrongrade {

// A whole process at one moment, for operators.
struct NodeDump {
  std::string node;
  std::string availability_zone;
  std::size_t requests_in_flight = 0;
  bool ready = false;
  // Nothing while the node is no member.
  std::optional<CoordinatorDump> coordinator;
  TargetDispatcher::Status dispatcher;
  DataRpcClient::Status data_rpc;

  std::string ToJson() const;
};

}  // namespace citrongrade
