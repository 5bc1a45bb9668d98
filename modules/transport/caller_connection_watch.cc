#include "modules/transport/caller_connection_watch.h"

#include <poll.h>

#include "modules/transport/own_sockets.h"

namespace citrongrade {

CallerConnectionWatch::CallerConnectionWatch(const std::string& caller_address)
    : m_caller_address(caller_address) {}

bool CallerConnectionWatch::IsClosed() {
  if (!m_searched) {
    m_socket = FindConnectionFrom(m_caller_address);
    m_searched = true;
  }
  if (!m_socket)
    return false;
  pollfd state = {*m_socket, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace citrongrade
