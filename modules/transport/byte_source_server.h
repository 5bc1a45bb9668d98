#pragma once

#include <memory>

#include "modules/protocol/forwarding.capnp.h"
#include "modules/transport/loop_signal.h"

namespace citrongrade {

class BodyPipe;
class RequestTransfer;
class RpcLoop;

// Cap'n Proto deletes its servers and handlers as what they are, never through
// the base, so its bases have no virtual destructor.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

// Gives a body to another node, as that node asks for it. When the other side
// drops it before the end, the whole transfer is cancelled. Kin: BodyPump.
class ByteSourceServer final : public rpc::ByteSource::Server {
 public:
  // `pipe` is the transfer's upload or download.
  ByteSourceServer(RpcLoop& loop,
                   std::shared_ptr<RequestTransfer> transfer,
                   BodyPipe& pipe);
  ~ByteSourceServer();

 protected:
  kj::Promise<void> read(ReadContext context) override;

 private:
  std::shared_ptr<RequestTransfer> m_transfer;
  BodyPipe& m_pipe;
  LoopSignal m_readable;
  bool m_ended = false;
};

#pragma GCC diagnostic pop

}  // namespace citrongrade
