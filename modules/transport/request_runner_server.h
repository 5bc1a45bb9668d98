#pragma once

#include <memory>

#include "modules/protocol/forwarding.capnp.h"

namespace citrongrade {

class Clock;
class RequestCarrier;
class RequestTransfer;
class RpcLoop;

// What one connection of another node may call. Made and used on the loop.
class RequestRunnerServer final : public rpc::RequestRunner::Server {
 public:
  RequestRunnerServer(RpcLoop& loop,
                      const Clock& clock,
                      RequestCarrier& runner);

 protected:
  kj::Promise<void> run(RunContext context) override;
  kj::Promise<void> ping(PingContext context) override;

 private:
  class Run;

  RpcLoop& m_loop;
  const Clock& m_clock;
  RequestCarrier& m_runner;
};

}  // namespace citrongrade
