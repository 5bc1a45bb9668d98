#pragma once

namespace citrongrade {

struct HttpAddress;

// Sets TCP_NODELAY on this process's connections to `peer`. CivetWeb's client
// neither sets it nor tells its socket. Without it, a body that follows its
// head, or the end of one, waits for the peer's delayed acknowledgement: about
// 40 ms on each such request. The sockets are found by their peer's address; to
// set it on another thread's connection to the same peer does no harm, since
// each connection wants it.
void DisableNagleTowards(const HttpAddress& peer);

}  // namespace citrongrade
