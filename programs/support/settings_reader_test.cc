#include "programs/support/settings_reader.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdlib>
#include <string>

namespace citrongrade {

namespace {

struct Sample {
  HttpAddress address{"127.0.0.1", 1};
  unsigned count = 5;
  double share = 0.5;
  bool checks = true;
  std::vector<HttpAddress> nodes;

  template <std::size_t kCount>
  void Read(const std::array<const char*, kCount>& arguments) {
    SettingsReader reader("sample");
    reader.Add("--address", address, "");
    reader.Add("--count", count, "");
    reader.Add("--share", share, "");
    reader.Add("--nodes", nodes, "");
    reader.AddSwitch("--checks", checks, "");
    reader.AddRule([this] { return count < 10; }, "--count must be below 10");
    reader.Read(static_cast<int>(kCount), arguments.data());
  }
};

}  // namespace

TEST_CASE("flags go before environment variables, these before defaults") {
  Sample sample;
  setenv("CITRONGRADE_COUNT", "7", 1);
  setenv("CITRONGRADE_SHARE", "0.25", 1);
  sample.Read(
      std::to_array<const char*>({"program", "--count", "3", "--no-checks",
                                  "--nodes", "127.0.0.1:1,127.0.0.1:2"}));
  unsetenv("CITRONGRADE_COUNT");
  unsetenv("CITRONGRADE_SHARE");
  CHECK(sample.count == 3);
  CHECK(sample.share == 0.25);
  CHECK_FALSE(sample.checks);
  CHECK(sample.address.port == 1);
  CHECK(sample.nodes.size() == 2);
}

TEST_CASE("one message names every mistake") {
  Sample sample;
  std::string message;
  try {
    sample.Read(std::to_array<const char*>({"program", "--count", "30",
                                            "--share", "half", "--address",
                                            "localhost:1", "--sead", "1"}));
  } catch (const SettingsError& error) {
    message = error.what();
  }
  for (const char* part : {"--share", "--address", "--sead", "below 10"})
    CHECK(message.find(part) != std::string::npos);
}

}  // namespace citrongrade
