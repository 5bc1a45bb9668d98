#include "programs/citrongradectl/node_client.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "modules/transport/http_address.h"
#include "modules/transport/http_client_connection.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"
#include "programs/citrongradectl/ctl_errors.h"

namespace citrongrade {

using nlohmann::ordered_json;

namespace {

constexpr std::size_t kMaxDumpBytes = std::size_t{32} * 1024 * 1024;
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;

}  // namespace

NodeClient::NodeClient(std::string control_address,
                       std::chrono::milliseconds timeout)
    : m_control_address(std::move(control_address)), m_timeout(timeout) {}

ordered_json NodeClient::Dump() const {
  ordered_json dump =
      ordered_json::parse(Call("GET", "/v1/dump", kStatusOk), nullptr, false);
  if (!dump.is_object()) {
    throw NodeUnreachableError(m_control_address +
                               " answered with a dump that is not JSON");
  }
  return dump;
}

LogOffset NodeClient::NextOffset() const {
  const ordered_json dump = Dump();
  const ordered_json::json_pointer field("/coordinator/next_offset");
  if (!dump.contains(field) || !dump[field].is_number_unsigned()) {
    throw NodeUnreachableError(m_control_address +
                               " answered with a dump without its position");
  }
  return LogOffset(dump[field].get<std::uint64_t>());
}

bool NodeClient::IsReady() const {
  try {
    Call("GET", "/v1/ready", kStatusOk);
    return true;
  } catch (const NodeUnreachableError&) {
    return false;
  }
}

void NodeClient::Drain() const {
  Call("POST", "/v1/drain", kStatusAccepted);
}

std::string NodeClient::Call(const std::string& method,
                             const std::string& path,
                             int expected_status) const {
  try {
    HttpClientConnection connection(HttpAddress::Parse(m_control_address));
    HttpRequest request;
    request.method = method;
    request.target = path;
    HttpResponse response = connection.Call(request, m_timeout, kMaxDumpBytes);
    if (response.head.status != expected_status) {
      throw NodeUnreachableError(m_control_address + path + " answered " +
                                 std::to_string(response.head.status));
    }
    return std::move(response.body);
  } catch (const HttpError& error) {
    throw NodeUnreachableError(m_control_address + ": " + error.what());
  }
}

}  // namespace citrongrade
