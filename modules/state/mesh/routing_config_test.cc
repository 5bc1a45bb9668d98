#include "modules/state/mesh/routing_config.h"

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

TEST_CASE("the longest prefix of the host decides") {
  RoutingConfig config;
  config.routes = {Rule("a.example", "/x/"), Rule("a.example", "/x/y/"),
                   Rule("b.example", "/x/y/z/")};
  CHECK(config.FindRoute("a.example", "/x/1")->path_prefix == "/x/");
  CHECK(config.FindRoute("a.example", "/x/y/z/1")->path_prefix == "/x/y/");
  CHECK(config.FindRoute("A.Example:80", "/x/1")->path_prefix == "/x/");
  CHECK(config.FindRoute("a.example", "/x") == nullptr);
  CHECK(config.FindRoute("c.example", "/x/1") == nullptr);
}

}  // namespace citrongrade
