#include "modules/transport/async/socket_probe.h"

#include <sys/socket.h>

#include <cerrno>

namespace citrongrade {

SocketState ProbeSocket(int handle) {
  char byte = 0;
  const ssize_t count = recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0)
    return SocketState::kReadable;
  if (count < 0 && (errno == EAGAIN || errno == EINTR))
    return SocketState::kIdle;
  return SocketState::kClosed;
}

}  // namespace citrongrade
