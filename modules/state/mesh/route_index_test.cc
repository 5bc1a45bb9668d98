#include "modules/state/mesh/route_index.h"

#include <doctest/doctest.h>

namespace citrongrade {

namespace {

RouteRule Rule(const std::string& host, const std::string& prefix) {
  RouteRule rule;
  rule.name = host + prefix;
  rule.host = host;
  rule.path_prefix = prefix;
  return rule;
}

}  // namespace

TEST_CASE("the host's longest matching prefix is used") {
  RoutingConfig config;
  config.routes = {Rule("a.example", "/x/"), Rule("a.example", "/x/y/"),
                   Rule("b.example", "/x/y/z/")};
  const RouteIndex index(config);
  CHECK(index.Find("a.example", "/x/1")->path_prefix == "/x/");
  CHECK(index.Find("a.example", "/x/y/z/1")->path_prefix == "/x/y/");
  CHECK(index.Find("A.Example:80", "/x/1")->path_prefix == "/x/");
  CHECK(index.Find("a.example", "/x") == nullptr);
  CHECK(index.Find("c.example", "/x/1") == nullptr);
}

}  // namespace citrongrade
