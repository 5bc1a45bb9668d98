#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/transport/async/task.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

class AsyncConnectionPool;
class AsyncHttpConnection;
class ConfigFollower;
class LoopMonitor;

// Transfers the configuration between nodes: fetches the difference to this
// node's version from the source that the leader assigns, and answers nodes
// that were directed here. It uses calls of its own, so that heartbeats neither
// carry configuration nor wait for it. Runs on the event loop. See also
// ConfigDistributor, with which the leader assigns sources.
class ConfigTransfer {
 public:
  static constexpr const char* kPath = "/mesh/config";

  ConfigTransfer(boost::asio::io_context& loop,
                 const Clock& clock,
                 ConfigFollower& config,
                 AsyncConnectionPool& peers,
                 LoopMonitor& monitor);

  // Replaces a transfer in progress. `on_end` is called when the transfer ends
  // by itself, successful or not; it is not called for a replaced transfer.
  void FetchFrom(const std::string& source, std::function<void()> on_end);
  bool is_fetching() const { return m_is_fetching; }
  // Returns whether the last transfer failed, and clears that state.
  bool TakeHasFailed();

  // Throws MalformedMessageError.
  HttpResponse HandleRequest(const HttpRequest& request);

 private:
  Task<> Fetch(std::string source,
               std::uint64_t fetch_number,
               std::function<void()> on_end);
  Task<> FetchOnce(std::string source, std::uint64_t fetch_number);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  ConfigFollower& m_config;
  AsyncConnectionPool& m_peers;
  LoopMonitor& m_monitor;
  // Number of the transfer started last.
  std::uint64_t m_last_fetch_number = 0;
  AsyncHttpConnection* m_connection = nullptr;
  bool m_is_fetching = false;
  bool m_has_failed = false;
  // Encoded changes to m_cached_version, by the version they start from.
  std::map<std::uint64_t, std::string> m_cached_responses;
  std::uint64_t m_cached_version = 0;
};

}  // namespace citrongrade
