#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace citrongrade {

// A loopback address that accepts connections and never says anything, as one
// whose peer has frozen. For tests.
class SilentListener {
 public:
  SilentListener() : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    bind(m_socket, generic, size);
    listen(m_socket, 16);
    getsockname(m_socket, generic, &size);
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~SilentListener() {
    if (m_socket >= 0)
      close(m_socket);
  }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;

  const std::string& address() const { return m_address; }

  // Stops listening, so that another may.
  std::string TakeAddress() {
    close(m_socket);
    m_socket = -1;
    return m_address;
  }

 private:
  int m_socket;
  std::string m_address;
};

}  // namespace citrongrade
