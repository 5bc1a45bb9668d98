#include "modules/coordination/ownership_board.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

const ServiceId kService{WorkspaceName("mesh"), ServiceName("alpha")};
const MemberId kSelf{NodeId("self"), Incarnation(4)};
const SlotIndex kSlot(1);

std::shared_ptr<BoardView> MakeView() {
  auto view = std::make_shared<BoardView>();
  auto slots = std::make_shared<SlotTable>(4, 0);
  slots->Assign({SlotIndex(0), 4, kSelf}, Epoch(9));
  view->ready = true;
  view->self = kSelf;
  view->own_service = kService;
  view->own_epochs.assign(4, Epoch(9));
  view->services[kService].slots = slots;
  return view;
}

}  // namespace

// The lease ends while a request waits; nothing is published in between, as
// when the whole process stands still. The clock alone refuses it.
TEST_CASE("the lease is compared with the clock at the moment of call") {
  ManualClock clock;
  OwnershipBoard board(clock);
  board.Publish(MakeView());
  board.PublishLease(clock.Now() + milliseconds(500));
  const GrantDecision granted = board.CheckGrant(kService, kSlot);
  CHECK(granted.granted());
  CHECK(granted.epoch == Epoch(9));
  CHECK(granted.lease_remaining == milliseconds(500));
  board.EndWork(kService, kSlot);
  clock.Advance(milliseconds(500));
  CHECK(board.CheckGrant(kService, kSlot).refused ==
        RequestErrorCode::kLeaseLost);
}

// A move freezes a slot while request threads ask for it. Each of them either
// sees it frozen or is counted, so that the move waits for it.
TEST_CASE("no granted work escapes the count when its slot freezes") {
  ManualClock clock;
  OwnershipBoard board(clock);
  board.Publish(MakeView());
  board.PublishLease(Clock::TimePoint::max());
  std::atomic<bool> stop(false);
  std::atomic<int> running(0);
  constexpr int kThreads = 3;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&board, &stop, &running] {
      while (!stop) {
        if (board.CheckGrant(kService, kSlot).granted()) {
          ++running;
          --running;
          board.EndWork(kService, kSlot);
        }
      }
    });
  }
  for (int round = 0; round < 200; ++round) {
    auto frozen = MakeView();
    frozen->frozen_slots.insert(kSlot);
    board.Publish(std::move(frozen));
    while (board.WorkInFlight(kService, kSlot) != 0) {
      std::this_thread::yield();
    }
    REQUIRE(running == 0);
    board.Publish(MakeView());
  }
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
}

TEST_CASE("a full queue refuses registrations and keeps what must be told") {
  ManualClock clock;
  OwnershipBoard board(clock, 1);
  int refused = 0;
  const auto on_registered = [&refused](const Registration& registration) {
    refused += registration.may_run() ? 0 : 1;
  };
  board.Register(ProtectedRequest(), on_registered);
  board.Register(ProtectedRequest(), on_registered);
  CHECK(refused == 1);
  board.Finish(ProtectedRequest(), nullptr);
  board.Withdraw(ProtectedRequest());
  CHECK(board.TakeCalls().size() == 3);
}

}  // namespace citrongrade
