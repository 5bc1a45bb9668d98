#include "modules/transport/async/socket_probe.h"

#include <poll.h>
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

bool IsClosedByPeer(int handle) {
  pollfd state = {handle, POLLRDHUP, 0};
  const bool has_ended =
      poll(&state, 1, 0) > 0 &&
      (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
  return has_ended || ProbeSocket(handle) == SocketState::kClosed;
}

}  // namespace citrongrade
