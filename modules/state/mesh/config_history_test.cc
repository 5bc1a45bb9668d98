#include "modules/state/mesh/config_history.h"

#include <doctest/doctest.h>

#include <memory>

namespace citrongrade {

namespace {

ConfigHistory::ConfigPtr Version(std::uint64_t version) {
  auto config = std::make_shared<RoutingConfig>();
  config->version = version;
  return config;
}

}  // namespace

TEST_CASE("an older or equal configuration version is refused") {
  ConfigHistory history;
  CHECK(history.Add(Version(5)));
  CHECK_FALSE(history.Add(Version(5)));
  CHECK_FALSE(history.Add(Version(3)));
  CHECK(history.version() == 5);
}

TEST_CASE(
    "a kept version gets the difference, any other the full configuration") {
  ConfigHistory history;
  for (std::uint64_t version = 1; version <= 4; ++version)
    history.Add(Version(version));
  CHECK(history.ChangeFrom(3).from_version == 3);
  CHECK(history.ChangeFrom(2).from_version == 2);
  CHECK(history.ChangeFrom(1).from_version == 0);
  CHECK(history.ChangeFrom(0).from_version == 0);
  CHECK(history.ChangeFrom(9).from_version == 0);
}

}  // namespace citrongrade
