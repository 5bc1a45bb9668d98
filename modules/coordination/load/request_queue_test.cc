#include "modules/coordination/load/request_queue.h"

#include <doctest/doctest.h>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

constexpr Clock::TimePoint kNow{std::chrono::hours(1)};

RequestMetadata Request(std::uint64_t ticket,
                        std::uint64_t caller,
                        std::uint64_t key,
                        std::size_t bytes = 100) {
  RequestMetadata request;
  request.ticket = RequestTicket(ticket);
  request.caller = CallerHash(caller);
  request.key = KeyHash(key);
  request.bytes = bytes;
  request.deadline = kNow + std::chrono::seconds(10);
  return request;
}

RequestQueue::Parameters Bounds(std::size_t count, std::size_t bytes) {
  RequestQueue::Parameters parameters;
  parameters.max_count = count;
  parameters.max_bytes = bytes;
  return parameters;
}

}  // namespace

// One caller has a hundred requests queued when another sends three. In order
// of arrival, the three would wait for all hundred.
TEST_CASE("a caller with many queued requests does not delay one with few") {
  RequestQueue queue(RequestQueue::Parameters{});
  for (std::uint64_t i = 0; i < 100; ++i) {
    queue.Push(Request(i, 1, i), kNow);
  }
  for (std::uint64_t i = 100; i < 103; ++i) {
    queue.Push(Request(i, 2, i), kNow);
  }
  int of_second = 0;
  for (int i = 0; i < 6; ++i) {
    of_second += queue.Pop()->request.caller == CallerHash(2) ? 1 : 0;
  }
  CHECK(of_second == 3);
}

// Two hundred callers request one key, and one caller requests another. With
// fairness among callers alone, the one would wait behind two hundred; a key
// counts as eight callers.
TEST_CASE("a key requested by many callers does not take the whole queue") {
  RequestQueue queue(RequestQueue::Parameters{});
  for (std::uint64_t i = 0; i < 200; ++i) {
    queue.Push(Request(i, i, 7), kNow);
  }
  queue.Push(Request(200, 900, 8), kNow);
  CHECK(queue.RankOf(Request(201, 901, 9)) <= 10);
  std::size_t before = 0;
  while (queue.Pop()->request.key != KeyHash(8)) {
    ++before;
  }
  CHECK(before <= 9);
}

// New callers keep arriving while one caller has two requests queued. If each
// new caller went first, the second request would never be served.
TEST_CASE("the second request of a caller is not overtaken forever") {
  RequestQueue queue(RequestQueue::Parameters{});
  queue.Push(Request(1, 1, 1), kNow);
  queue.Push(Request(2, 1, 2), kNow);
  int pops = 0;
  for (std::uint64_t newcomer = 3; newcomer < 1000; ++newcomer) {
    queue.Push(Request(newcomer, newcomer, newcomer), kNow);
    ++pops;
    if (queue.Pop()->request.ticket == RequestTicket(2)) {
      break;
    }
  }
  CHECK(pops <= 5);
}

// The queue is full of one caller's requests when another sends its first. If
// new requests were refused, whoever came first would keep all others out.
TEST_CASE("at the bound the caller furthest over its share loses a request") {
  RequestQueue queue(Bounds(10, 1 << 20U));
  for (std::uint64_t i = 0; i < 10; ++i) {
    queue.Push(Request(i, 1, i), kNow);
  }
  const RequestQueue::PushResult other = queue.Push(Request(10, 2, 10), kNow);
  CHECK(other.accepted);
  REQUIRE(other.evicted.size() == 1);
  CHECK(other.evicted[0].ticket == RequestTicket(9));
  const RequestQueue::PushResult same = queue.Push(Request(11, 1, 11), kNow);
  CHECK_FALSE(same.accepted);
  CHECK(same.evicted.empty());
  CHECK(queue.size() == 10);
}

TEST_CASE("bytes are bounded, and a request over the bound evicts none") {
  RequestQueue queue(Bounds(10, 1000));
  queue.Push(Request(1, 1, 1, 600), kNow);
  const auto second = queue.Push(Request(2, 1, 2, 600), kNow);
  CHECK_FALSE(second.accepted);
  CHECK(second.limited_by_bytes);
  const auto huge = queue.Push(Request(3, 2, 3, 5000), kNow);
  CHECK_FALSE(huge.accepted);
  CHECK(huge.evicted.empty());
  CHECK(queue.bytes() == 600);
}

TEST_CASE("requests that can't end in time don't delay later ones") {
  RequestQueue queue(RequestQueue::Parameters{});
  for (std::uint64_t i = 0; i < 4; ++i) {
    RequestMetadata request = Request(i, i, i);
    request.deadline = kNow + std::chrono::milliseconds(i == 1 ? 10 : 350);
    queue.Push(request, kNow);
  }
  const auto unmeetable = queue.TakeUnmeetable(
      kNow + std::chrono::milliseconds(100), std::chrono::milliseconds(100));
  REQUIRE(unmeetable.size() == 1);
  CHECK(unmeetable[0].ticket == RequestTicket(1));
}

TEST_CASE("a cancelled request is removed and costs its caller nothing") {
  RequestQueue queue(RequestQueue::Parameters{});
  queue.Push(Request(1, 1, 1), kNow);
  queue.Push(Request(2, 2, 2), kNow);
  queue.Push(Request(3, 2, 3), kNow);
  CHECK(queue.Cancel(RequestTicket(3)));
  CHECK_FALSE(queue.Cancel(RequestTicket(3)));
  CHECK(queue.size() == 2);
  CHECK(queue.RankOf(Request(4, 2, 4)) == queue.RankOf(Request(4, 1, 4)));
}

}  // namespace citrongrade
