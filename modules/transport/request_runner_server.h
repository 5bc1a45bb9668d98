#pragma once

#include <memory>

#include "modules/protocol/forwarding.capnp.h"

namespace citrongrade {

class Clock;
class RequestCarrier;
class RequestTransfer;
class RpcLoop;

// Cap'n Proto deletes its servers and handlers as what they are, never through
// the base, so its bases have no virtual destructor.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

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

#pragma GCC diagnostic pop

}  // namespace citrongrade
