#include "programs/citrongrade-log-standin/log_stream.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include "modules/coordination/log_errors.h"

namespace citrongrade {

using std::chrono::milliseconds;

TEST_CASE("offsets start at 1 and outlive the records they named") {
  LogStream stream;
  CHECK(stream.bounds() == LogBounds{LogOffset(1), LogOffset(1)});
  for (std::uint64_t i = 1; i <= 5; ++i)
    CHECK(stream.Append("r" + std::to_string(i), 3) == LogOffset(i));
  CHECK(stream.bounds() == LogBounds{LogOffset(3), LogOffset(6)});
  CHECK(stream.Read(LogOffset(4), 10, milliseconds(0)).records ==
        std::vector<std::string>{"r4", "r5"});
  CHECK(stream.Read(LogOffset(3), 1, milliseconds(0)).records ==
        std::vector<std::string>{"r3"});
  CHECK(stream.Read(LogOffset(9), 1, milliseconds(0)).records.empty());
}

// A reader was away longer than the retention. It must learn that records are
// missing, and not take the first kept one for the next.
TEST_CASE("a reader behind the retention is told") {
  LogStream stream;
  for (int i = 0; i < 5; ++i)
    stream.Append("r", 2);
  CHECK_THROWS_AS(stream.Read(LogOffset(3), 1, milliseconds(0)),
                  LogRetentionPassedError);
  stream.Trim(1);
  CHECK(stream.bounds().first == LogOffset(5));
}

TEST_CASE("a waiting reader gets the next append, and none after a close") {
  LogStream stream;
  std::thread writer([&stream] { stream.Append("new", 10); });
  CHECK(stream.Read(LogOffset(1), 1, std::chrono::seconds(30)).records.size() ==
        1);
  writer.join();
  std::thread closer([&stream] { stream.Close(); });
  CHECK(stream.Read(LogOffset(2), 1, std::chrono::minutes(5)).records.empty());
  closer.join();
}

}  // namespace citrongrade
