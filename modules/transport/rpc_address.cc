#include "modules/transport/rpc_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include "modules/transport/http_address.h"
#include "modules/transport/http_errors.h"

namespace citrongrade {

kj::Own<kj::NetworkAddress> ParseRpcAddress(kj::Network& network,
                                            const std::string& text) {
  const HttpAddress address = HttpAddress::Parse(text);
  sockaddr_in number = {};
  number.sin_family = AF_INET;
  number.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &number.sin_addr) != 1)
    throw InvalidHttpAddressError(text);
  return network.getSockaddr(&number, sizeof(number));
}

}  // namespace citrongrade
