#include "modules/transport/body_pipe.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

namespace citrongrade {

namespace {

const auto kSoon = [] {
  return std::chrono::steady_clock::now() + std::chrono::seconds(10);
};

}  // namespace

TEST_CASE("a body goes through a pipe smaller than itself") {
  BodyPipe pipe(8);
  const std::string body(1000, 'x');
  std::thread writer([&] {
    CHECK(pipe.Write(body, kSoon()));
    pipe.End();
  });
  std::string received;
  while (true) {
    const BodyPipe::ReadResult next = pipe.Read(kSoon());
    if (next.state != BodyPipe::ReadState::kBytes) {
      CHECK(next.state == BodyPipe::ReadState::kEnd);
      break;
    }
    CHECK(next.bytes.size() <= 8);
    received += next.bytes;
  }
  writer.join();
  CHECK(received == body);
}

TEST_CASE("a body that failed never looks whole") {
  // The writer loses its source half-way. A reader that only saw the end of
  // bytes would pass a cut answer on as a whole one.
  BodyPipe pipe(100);
  CHECK(pipe.TryWrite("half"));
  pipe.Fail();
  pipe.End();
  CHECK(pipe.TryRead(100).state == BodyPipe::ReadState::kFailed);
}

TEST_CASE("a writer stops when nobody reads on") {
  BodyPipe pipe(4);
  std::thread closer([&] { pipe.CloseReader(); });
  CHECK_FALSE(pipe.Write("more than fits", kSoon()));
  closer.join();
  CHECK(pipe.TryWrite("dropped"));
  CHECK(pipe.free_bytes() == 4);
}

TEST_CASE("a full pipe takes nothing until it is read, and says when it may") {
  BodyPipe pipe(4);
  int writable = 0;
  pipe.SetWritableCallback([&] { ++writable; });
  CHECK(pipe.TryWrite("123456"));
  CHECK_FALSE(pipe.TryWrite("7"));
  CHECK(pipe.TryRead(5).bytes == "12345");
  CHECK(writable == 1);
  CHECK(pipe.TryWrite("7"));
}

TEST_CASE("a read gives up at its deadline") {
  BodyPipe pipe(4);
  CHECK(pipe.Read(std::chrono::steady_clock::now()).state ==
        BodyPipe::ReadState::kWait);
}

}  // namespace citrongrade
