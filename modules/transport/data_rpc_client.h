#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace citrongrade {

class Clock;
class RequestTransfer;
class RpcLoop;

// Forwards requests to other nodes over kept connections, two to each: one for
// small requests, one for those with long bodies, so that a chunk of an upload
// does not hold up what is small.
//
// A connection is pinged; one that is silent beyond the limit is closed, its
// requests end as unknown, and the next request opens a new one. Without that a
// connection that something on the way has forgotten would hold every request
// to its deadline. Kin: DataRpcServer, its other end.
class DataRpcClient {
 public:
  struct Settings {
    std::chrono::milliseconds connect_timeout{1000};
    std::chrono::milliseconds heartbeat_interval{500};
    // Longest silence. Well above a pause of a busy peer's loop.
    std::chrono::milliseconds heartbeat_timeout{1500};

    friend auto operator<=>(const Settings&, const Settings&) = default;
  };

  struct Status {
    std::uint64_t connections = 0;
    std::uint64_t connections_lost = 0;
    std::uint64_t running = 0;
    std::uint64_t late_answers = 0;

    friend auto operator<=>(const Status&, const Status&) = default;
  };

  DataRpcClient(RpcLoop& loop, const Clock& clock, const Settings& settings);
  // Requests still under way end as unknown.
  ~DataRpcClient();
  DataRpcClient(const DataRpcClient&) = delete;
  DataRpcClient& operator=(const DataRpcClient&) = delete;

  // Any thread. `address`: data address of the node that is to run it.
  void Forward(const std::string& address,
               const std::shared_ptr<RequestTransfer>& transfer);

  // Any thread but the loop's.
  Status GetStatus() const;

 private:
  class Implementation;

  RpcLoop& m_loop;
  // Lives on the loop.
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
