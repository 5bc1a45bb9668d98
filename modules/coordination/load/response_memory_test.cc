#include "modules/coordination/load/response_memory.h"

#include <doctest/doctest.h>

namespace citrongrade {

namespace {

struct Fixture {
  ResponseMemory memory{100};
  int evicted = 0;
  ResponseMemory::Reception large{memory, [this] { ++evicted; }};
  ResponseMemory::Reception small{memory, [this] { ++evicted; }};
};

}  // namespace

// Guards against responses that together take more than the process has.
TEST_CASE_FIXTURE(Fixture, "the largest response is ended when memory is out") {
  CHECK(large.TryGrowTo(80));
  CHECK(small.TryGrowTo(20));
  CHECK(evicted == 0);
  CHECK(small.TryGrowTo(30));
  CHECK(evicted == 1);
  CHECK(memory.used() == 30);
  CHECK_FALSE(large.TryGrowTo(90));
}

// Guards against a response that ends others and takes their memory, again and
// again.
TEST_CASE_FIXTURE(Fixture, "a response that is the largest itself gets none") {
  CHECK(large.TryGrowTo(80));
  CHECK(small.TryGrowTo(20));
  CHECK_FALSE(large.TryGrowTo(81));
  CHECK(evicted == 0);
  CHECK(memory.used() == 100);
  CHECK(memory.evicted_count() == 1);
}

// Guards against memory that counts as taken after its response has ended.
TEST_CASE("a response gives its memory back") {
  ResponseMemory memory(100);
  {
    ResponseMemory::Reception reception(memory, [] {});
    CHECK(reception.TryGrowTo(60));
  }
  CHECK(memory.used() == 0);
}

}  // namespace citrongrade
