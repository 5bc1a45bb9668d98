#include "modules/transport/caller_connection_watch.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <charconv>
#include <filesystem>
#include <system_error>

#include "modules/transport/http_address.h"

namespace citrongrade {

namespace {

bool IsSocketOf(int socket, const sockaddr_in& peer) {
  sockaddr_in found = {};
  socklen_t size = sizeof(found);
  if (getpeername(socket, reinterpret_cast<sockaddr*>(&found), &size) != 0)
    return false;
  return found.sin_family == AF_INET && found.sin_port == peer.sin_port &&
         found.sin_addr.s_addr == peer.sin_addr.s_addr;
}

}  // namespace

CallerConnectionWatch::CallerConnectionWatch(const std::string& caller_address)
    : m_caller_address(caller_address) {}

bool CallerConnectionWatch::IsClosed() {
  if (!m_searched) {
    m_socket = FindSocket();
    m_searched = true;
  }
  if (!m_socket)
    return false;
  pollfd state = {*m_socket, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::optional<int> CallerConnectionWatch::FindSocket() const {
  const HttpAddress address = HttpAddress::Parse(m_caller_address);
  sockaddr_in peer = {};
  peer.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &peer.sin_addr) != 1)
    return std::nullopt;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd", error)) {
    const std::string name = entry.path().filename();
    int socket = -1;
    std::from_chars(name.data(), name.data() + name.size(), socket);
    if (socket >= 0 && IsSocketOf(socket, peer))
      return socket;
  }
  return std::nullopt;
}

}  // namespace citrongrade
