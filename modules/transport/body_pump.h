#pragma once

#include <kj/async.h>

#include <memory>

#include "modules/protocol/forwarding.capnp.h"
#include "modules/transport/loop_signal.h"

namespace citrongrade {

class BodyPipe;
class RequestTransfer;
class RpcLoop;

// Pulls a body out of another node into a pipe, no faster than the pipe is
// read. Kin: ByteSourceServer.
class BodyPump {
 public:
  BodyPump(RpcLoop& loop,
           rpc::ByteSource::Client source,
           std::shared_ptr<RequestTransfer> transfer,
           BodyPipe& pipe);

  // Resolves when the body has ended, failed, or is wanted no more. The pump
  // has to stay until then.
  kj::Promise<void> Run();

 private:
  kj::Promise<void> ReadNext();

  rpc::ByteSource::Client m_source;
  std::shared_ptr<RequestTransfer> m_transfer;
  BodyPipe& m_pipe;
  LoopSignal m_writable;
};

}  // namespace citrongrade
