#pragma once

namespace citrongrade {

enum class SocketState {
  // Open, with nothing to read.
  kIdle,
  // Received bytes wait to be read.
  kReadable,
  // The peer has closed or reset the connection.
  kClosed,
};

// Returns the state of a socket, without consuming bytes or blocking.
SocketState ProbeSocket(int handle);

// Whether the peer has closed or reset the connection, also while received
// bytes still wait to be read.
bool IsClosedByPeer(int handle);

}  // namespace citrongrade
