#pragma once

#include <kj/async-io.h>

#include <string>

namespace citrongrade {

// "ip:port" as Cap'n Proto's network takes it, without a resolver.
// Throws InvalidHttpAddressError.
kj::Own<kj::NetworkAddress> ParseRpcAddress(kj::Network& network,
                                            const std::string& text);

}  // namespace citrongrade
