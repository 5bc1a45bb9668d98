#include "modules/transport/own_sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <filesystem>
#include <system_error>

#include "modules/transport/http_address.h"

namespace citrongrade {

namespace {

using NameFunction = int (*)(int, sockaddr*, socklen_t*);

bool HasName(int socket, NameFunction name_of, const HttpAddress& address) {
  sockaddr_in found = {};
  socklen_t size = sizeof(found);
  if (name_of(socket, reinterpret_cast<sockaddr*>(&found), &size) != 0)
    return false;
  in_addr ip = {};
  return inet_pton(AF_INET, address.ip.c_str(), &ip) == 1 &&
         found.sin_family == AF_INET && found.sin_port == htons(address.port) &&
         found.sin_addr.s_addr == ip.s_addr;
}

bool IsListening(int socket) {
  int listening = 0;
  socklen_t size = sizeof(listening);
  return getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) ==
             0 &&
         listening != 0;
}

}  // namespace

std::optional<int> FindOwnSocket(const std::function<bool(int)>& matches) {
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd", error)) {
    const std::string name = entry.path().filename();
    int socket = -1;
    std::from_chars(name.data(), name.data() + name.size(), socket);
    if (socket >= 0 && matches(socket))
      return socket;
  }
  return std::nullopt;
}

std::optional<int> FindConnectionFrom(const std::string& peer) {
  const HttpAddress address = HttpAddress::Parse(peer);
  return FindOwnSocket([&address](int socket) {
    return HasName(socket, &getpeername, address);
  });
}

void StopListening(const std::string& address) {
  const HttpAddress own = HttpAddress::Parse(address);
  const std::optional<int> socket = FindOwnSocket([&own](int candidate) {
    return IsListening(candidate) && HasName(candidate, &getsockname, own);
  });
  if (socket)
    shutdown(*socket, SHUT_RD);
}

}  // namespace citrongrade
