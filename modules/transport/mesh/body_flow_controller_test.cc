#include "modules/transport/mesh/body_flow_controller.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

// Guards against requests that wait for the permission to send their body until
// their node's time to stop is over, and against the withdrawal of others.
TEST_CASE("a withdrawn body gets no permit, and others wait on") {
  constexpr double kBytesPerSecond = 1000;
  constexpr std::uint64_t kBytes = 500;
  boost::asio::io_context loop;
  const ManualClock clock;
  BodyFlowController controller(loop, clock, kBytesPerSecond);
  const Clock::TimePoint deadline = clock.Now() + std::chrono::seconds(10);
  const BodyFlowController::Owner first_owner{1, "a"};
  const BodyFlowController::Owner second_owner{1, "b"};
  std::shared_ptr<void> first;
  bool has_ended = false;
  bool has_permit = true;
  const auto hold_link = [&]() -> Task<> {
    first =
        co_await controller.Acquire(first_owner, kBytes, deadline, deadline);
  };
  const auto wait = [&]() -> Task<> {
    const std::shared_ptr<void> permit =
        co_await controller.Acquire(second_owner, kBytes, deadline, deadline);
    has_ended = true;
    has_permit = permit != nullptr;
  };
  boost::asio::co_spawn(loop, hold_link(), boost::asio::detached);
  boost::asio::co_spawn(loop, wait(), boost::asio::detached);
  loop.poll();
  REQUIRE(first != nullptr);
  CHECK(controller.Withdraw(2, {"b"}) == 0);
  CHECK(controller.Withdraw(1, {"a", "c"}) == 0);
  loop.poll();
  CHECK_FALSE(has_ended);
  CHECK(controller.Withdraw(1, {"b"}) == 1);
  loop.poll();
  CHECK(has_ended);
  CHECK_FALSE(has_permit);
}

}  // namespace citrongrade
