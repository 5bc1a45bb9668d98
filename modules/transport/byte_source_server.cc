#include "modules/transport/byte_source_server.h"

#include <kj/debug.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "modules/transport/body_pipe.h"
#include "modules/transport/request_transfer.h"

namespace citrongrade {

ByteSourceServer::ByteSourceServer(RpcLoop& loop,
                                   std::shared_ptr<RequestTransfer> transfer,
                                   BodyPipe& pipe)
    : m_transfer(std::move(transfer)), m_pipe(pipe), m_readable(loop) {
  m_pipe.SetReadableCallback(m_readable.Notifier());
}

ByteSourceServer::~ByteSourceServer() {
  if (m_ended)
    return;
  if (&m_pipe == &m_transfer->upload()) {
    // The owner wants no more of the upload: it may have answered early.
    m_pipe.CloseReader();
  } else {
    m_transfer->Cancel();
  }
}

kj::Promise<void> ByteSourceServer::read(ReadContext context) {
  const std::size_t wanted = std::min<std::size_t>(
      context.getParams().getMaxBytes(), RequestTransfer::kPipeBytes);
  BodyPipe::ReadResult next = m_pipe.TryRead(std::max<std::size_t>(wanted, 1));
  switch (next.state) {
    case BodyPipe::ReadState::kWait:
      return m_readable.Wait().then(
          [this, context]() mutable { return read(context); });
    case BodyPipe::ReadState::kFailed:
      m_ended = true;
      return KJ_EXCEPTION(FAILED, "the body was cut short");
    case BodyPipe::ReadState::kEnd:
      m_ended = true;
      context.getResults().setIsEnd(true);
      return kj::READY_NOW;
    case BodyPipe::ReadState::kBytes:
      break;
  }
  auto results = context.getResults();
  results.setBytes(kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(next.bytes.data()), next.bytes.size()));
  return kj::READY_NOW;
}

}  // namespace citrongrade
