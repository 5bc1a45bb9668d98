#include "modules/state/mesh/config_change.h"

#include <doctest/doctest.h>

#include <string>

namespace citrongrade {

namespace {

RouteRule Route(const std::string& name, const std::string& service) {
  RouteRule route;
  route.name = name;
  route.host = "h.example";
  route.path_prefix = "/" + name + "/";
  route.destinations = {{service, 1}};
  return route;
}

RoutingConfig Older() {
  RoutingConfig config;
  config.version = 4;
  config.routes = {Route("a", "one"), Route("b", "one"), Route("c", "two")};
  config.services["one"].name = "one";
  config.services["two"].name = "two";
  return config;
}

// One route has a new destination, one is removed and one is new; so are
// services.
RoutingConfig Newer() {
  RoutingConfig config = Older();
  config.version = 9;
  config.routes = {Route("a", "two"), Route("c", "two"), Route("d", "three")};
  config.services.erase("one");
  config.services["three"].name = "three";
  config.limits.idle_timeout = std::chrono::seconds(7);
  return config;
}

}  // namespace

TEST_CASE("applying a change to the older version gives the newer version") {
  const ConfigChange change = ConfigChange::Between(Older(), Newer());
  CHECK(change.routes.size() == 2);
  CHECK(change.ApplyTo(Older()) == Newer());
}

TEST_CASE("a full change contains everything and ignores the base") {
  CHECK(ConfigChange::Full(Newer()).ApplyTo(Older()) == Newer());
}

TEST_CASE(
    "the size of a change depends on the difference, not on the "
    "configuration") {
  RoutingConfig older = Older();
  for (int i = 0; i < 3000; ++i)
    older.routes.push_back(Route("route-" + std::to_string(i), "one"));
  RoutingConfig newer = older;
  newer.version = 10;
  newer.routes.front().timeout = std::chrono::milliseconds(700);
  CHECK(ConfigChange::Between(older, newer).routes.size() == 1);
}

}  // namespace citrongrade
