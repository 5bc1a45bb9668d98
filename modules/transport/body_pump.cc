#include "modules/transport/body_pump.h"

#include <cstdint>
#include <string>
#include <utility>

#include "modules/transport/body_pipe.h"
#include "modules/transport/request_transfer.h"

namespace citrongrade {

namespace {

constexpr std::uint32_t kReadBytes = 128 * 1024;

}  // namespace

BodyPump::BodyPump(RpcLoop& loop,
                   rpc::ByteSource::Client source,
                   std::shared_ptr<RequestTransfer> transfer,
                   BodyPipe& pipe)
    : m_source(kj::mv(source)),
      m_transfer(std::move(transfer)),
      m_pipe(pipe),
      m_writable(loop) {
  m_pipe.SetWritableCallback(m_writable.Notifier());
}

kj::Promise<void> BodyPump::Run() {
  if (m_pipe.reader_closed())
    return kj::READY_NOW;
  if (m_pipe.free_bytes() == 0)
    return m_writable.Wait().then([this] { return Run(); });
  return ReadNext();
}

kj::Promise<void> BodyPump::ReadNext() {
  auto request = m_source.readRequest();
  request.setMaxBytes(kReadBytes);
  return request.send().then(
      [this](auto&& response) -> kj::Promise<void> {
        const auto bytes = response.getBytes();
        m_pipe.TryWrite(std::string(
            reinterpret_cast<const char*>(bytes.begin()), bytes.size()));
        if (!response.getIsEnd())
          return Run();
        m_pipe.End();
        return kj::READY_NOW;
      },
      [this](kj::Exception&& /*reason*/) -> kj::Promise<void> {
        m_pipe.Fail();
        return kj::READY_NOW;
      });
}

}  // namespace citrongrade
