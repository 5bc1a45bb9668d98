#pragma once

#include <functional>
#include <optional>
#include <string>

namespace citrongrade {

// CivetWeb doesn't show its sockets, so they are found among this process's own
// open files. Each search looks at all of them.

// The first socket for which `matches` is true.
std::optional<int> FindOwnSocket(const std::function<bool(int)>& matches);

// The connection whose other end is `peer` ("ip:port").
std::optional<int> FindConnectionFrom(const std::string& peer);

// Closes the door at `address` ("ip:port"): further connections are refused
// while those that were accepted go on. A server that merely stops takes no
// connection from then on and closes its door a moment later; a caller that
// comes in between is reset and can't tell whether its request ran.
void StopListening(const std::string& address);

}  // namespace citrongrade
