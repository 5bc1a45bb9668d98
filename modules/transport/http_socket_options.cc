#include "modules/transport/http_socket_options.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "modules/transport/http_address.h"

namespace citrongrade {

namespace {

// Descriptors above the lowest free one that are looked at as well: lower ones
// may have been closed since the connection was opened.
constexpr int kDescriptorMargin = 64;

int LowestFreeDescriptor() {
  const int probe = open("/dev/null", O_RDONLY | O_CLOEXEC);
  if (probe >= 0)
    close(probe);
  return probe;
}

bool IsConnectedTo(int descriptor, const sockaddr_in& peer) {
  sockaddr_in connected = {};
  socklen_t length = sizeof(connected);
  // The sockets API takes its addresses through this cast.
  auto* generic = reinterpret_cast<sockaddr*>(&connected);
  return getpeername(descriptor, generic, &length) == 0 &&
         connected.sin_family == AF_INET &&
         connected.sin_port == peer.sin_port &&
         connected.sin_addr.s_addr == peer.sin_addr.s_addr;
}

}  // namespace

void DisableNagleTowards(const HttpAddress& peer) {
  sockaddr_in address = {};
  address.sin_port = htons(peer.port);
  inet_pton(AF_INET, peer.ip.c_str(), &address.sin_addr);
  const int end = LowestFreeDescriptor() + kDescriptorMargin;
  for (int descriptor = 0; descriptor < end; ++descriptor) {
    const int on = 1;
    if (IsConnectedTo(descriptor, address)) {
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
  }
}

}  // namespace citrongrade
