#include "modules/protocol/config_change_codec.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "modules/protocol/malformed_message_error.h"

namespace citrongrade {

namespace {

RouteRule Route(int number) {
  RouteRule route;
  route.name = "route-" + std::to_string(number);
  route.host = "host-" + std::to_string(number % 3) + ".example";
  route.path_prefix = "/prefix-" + std::to_string(number) + "/";
  route.is_idempotent = number % 2 == 0;
  route.priority = static_cast<std::uint32_t>(number % 4);
  route.destinations = {{"one", 3}, {"two", 1}};
  if (number % 5 == 0)
    route.allowed_regions = {"north", "south"};
  return route;
}

ConfigChange Sample(int routes) {
  ConfigChange change;
  change.from_version = 3;
  change.to_version = 8;
  change.store_next = 0;
  change.removed_routes = {"gone"};
  change.removed_services = {"old"};
  change.services.push_back(
      {"one", true, "/health", 73, std::chrono::milliseconds(3000), 8.1});
  change.evacuations = {17, {"derby", "suape"}};
  change.limits.max_body_bytes = 9;
  for (int i = 0; i < routes; ++i)
    change.routes.push_back(Route(i));
  return change;
}

}  // namespace

TEST_CASE("a change of the configuration comes out as it went in") {
  for (const int routes : {0, 1, 50}) {
    const ConfigChange change = Sample(routes);
    CHECK(ConfigChangeCodec::Decode(ConfigChangeCodec::Encode(change)) ==
          change);
  }
  const ConfigChange empty;
  CHECK(ConfigChangeCodec::Decode(ConfigChangeCodec::Encode(empty)) == empty);
}

TEST_CASE("a request names the version that its sender has") {
  CHECK(ConfigChangeCodec::DecodeRequest(ConfigChangeCodec::EncodeRequest(7)) ==
        7);
}

TEST_CASE("many routes take a tenth of what they take in a document") {
  constexpr int kRoutes = 1400;
  constexpr std::size_t kDocumentBytes = 460'000;
  CHECK(ConfigChangeCodec::Encode(Sample(kRoutes)).size() <
        kDocumentBytes / 10);
}

TEST_CASE("what breaks off is no change") {
  const std::string bytes = ConfigChangeCodec::Encode(Sample(20));
  for (std::size_t length = 1; length < bytes.size(); length += 7) {
    CHECK_THROWS_AS(ConfigChangeCodec::Decode(bytes.substr(0, length)),
                    MalformedMessageError);
  }
}

}  // namespace citrongrade
