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

// Brings the configuration from node to node: fetches the difference to what
// this node has from the source that the leader names, and answers nodes that
// were sent here. In calls of its own, so that heartbeats carry none of it and
// wait for none. On the event loop. Kin: ConfigSpread, by which the leader
// names sources.
class ConfigTransfer {
 public:
  static constexpr const char* kPath = "/mesh/config";

  ConfigTransfer(boost::asio::io_context& loop,
                 const Clock& clock,
                 ConfigFollower& config,
                 AsyncConnectionPool& peers,
                 LoopMonitor& monitor);

  // In place of a transfer that is under way. `on_end` is called when it has
  // ended by itself, whether it brought anything or not.
  void FetchFrom(const std::string& source, std::function<void()> on_end);
  bool is_fetching() const { return m_is_fetching; }
  // Whether the last one failed; once asked, it is forgotten.
  bool TakeHasFailed();

  // Throws MalformedMessageError.
  HttpResponse HandleRequest(const HttpRequest& request);

 private:
  Task<> Fetch(std::string source,
               std::uint64_t number,
               std::function<void()> on_end);
  Task<> FetchOnce(std::string source, std::uint64_t number);

  boost::asio::io_context& m_loop;
  const Clock& m_clock;
  ConfigFollower& m_config;
  AsyncConnectionPool& m_peers;
  LoopMonitor& m_monitor;
  // Of the transfer that was begun last.
  std::uint64_t m_last_fetch_number = 0;
  AsyncHttpConnection* m_connection = nullptr;
  bool m_is_fetching = false;
  bool m_has_failed = false;
  // Answers to those that come from one version or another to m_answers_for.
  std::map<std::uint64_t, std::string> m_cached_responses;
  std::uint64_t m_cached_version = 0;
};

}  // namespace citrongrade
