#pragma once

#include <memory>
#include <string>

namespace citrongrade {

class Clock;
class RequestCarrier;
class RpcLoop;

// Listens for requests that other nodes forward, and gives them to `runner`.
// Kin: DataRpcClient, its other end.
class DataRpcServer {
 public:
  // Throws RpcListenError when `address` ("ip:port") can't be listened on.
  DataRpcServer(RpcLoop& loop,
                const Clock& clock,
                RequestCarrier& runner,
                const std::string& address);
  // Ends all connections; their requests are cancelled.
  ~DataRpcServer();
  DataRpcServer(const DataRpcServer&) = delete;
  DataRpcServer& operator=(const DataRpcServer&) = delete;

 private:
  class Implementation;

  RpcLoop& m_loop;
  // Lives on the loop.
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
