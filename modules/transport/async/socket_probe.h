#pragma once

namespace citrongrade {

enum class SocketState {
  // Open, with nothing to read.
  kIdle,
  // Bytes have come that nobody has read.
  kReadable,
  // The peer closed or reset it.
  kClosed,
};

// What a look at the socket shows, without taking anything off it or waiting.
SocketState ProbeSocket(int handle);

}  // namespace citrongrade
