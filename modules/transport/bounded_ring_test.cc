#include "modules/transport/bounded_ring.h"

#include <doctest/doctest.h>

#include <thread>

namespace citrongrade {

TEST_CASE("a ring gives items in order and refuses what doesn't fit") {
  BoundedRing<int> ring(2);
  CHECK(ring.TryPush(1));
  CHECK(ring.TryPush(2));
  CHECK_FALSE(ring.TryPush(3));
  CHECK(ring.Pop() == 1);
  CHECK(ring.TryPush(3));
  CHECK(ring.Pop() == 2);
  CHECK(ring.Pop() == 3);
  CHECK_FALSE(ring.TryPop().has_value());
}

TEST_CASE("a closed ring wakes all that wait and can still be emptied") {
  BoundedRing<int> ring(1);
  CHECK(ring.Push(1));
  std::thread pusher([&] { CHECK_FALSE(ring.Push(2)); });
  ring.Close();
  pusher.join();
  CHECK(ring.Pop() == 1);
  CHECK_FALSE(ring.Pop().has_value());
}

}  // namespace citrongrade
