#pragma once

#include <cstddef>
#include <memory>

#include "modules/protocol/forwarded_request.h"
#include "modules/transport/caller_request.h"

namespace citrongrade {

class RoutingTable;
struct ServiceSettings;

// Understands a caller's request by its service's settings: key, id, deadline,
// what may run twice. Pure but for the table that it reads; every way in which
// a request can be wrong is a RequestRefusedError with outcome not-run.
class CallerRequestParser {
 public:
  static constexpr std::size_t kMaxKeyBytes = 512;
  static constexpr std::size_t kMaxRequestIdBytes = 200;
  // Method, path, query and headers together.
  static constexpr std::size_t kMaxHeadBytes = 16 * 1024;

  struct Parsed {
    ForwardedRequest request;
    std::shared_ptr<const ServiceSettings> settings;
    // What decides the owner; empty where any member may run it.
    std::string slot_key;
  };

  // The table outlives the parser.
  explicit CallerRequestParser(const RoutingTable& table);

  // Throws RequestRefusedError.
  Parsed Parse(const CallerRequest& caller) const;

 private:
  std::shared_ptr<const ServiceSettings> FindService(
      const CallerRequest& caller) const;

  const RoutingTable& m_table;
};

}  // namespace citrongrade
