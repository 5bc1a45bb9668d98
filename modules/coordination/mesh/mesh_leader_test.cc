#include "modules/coordination/mesh/mesh_leader.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kNonce = 7;

// A leader, and nodes that answer it whenever Step() is called.
class Fixture {
 public:
  Fixture() {
    MeshRecord record;
    record.epoch = 1;
    record.leader = "a";
    record.voters = {"a"};
    Lead(record);
  }

  void Lead(const MeshRecord& record) {
    leader = std::make_unique<MeshLeader>(clock, timing, "a", kNonce, record);
    leader->SetShardedServices({"divided"});
  }

  // Runs that the view tells their owner to give back.
  std::vector<SlotAssignment> MovingRunsOf(const std::string& address) const {
    std::vector<SlotAssignment> moving;
    for (SlotAssignment run :
         leader->view().FindTable("divided")->assignments()) {
      run.version = 0;
      if (run.owner == address && run.is_moving())
        moving.push_back(run);
    }
    return moving;
  }

  void GiveBack(const std::string& address,
                const std::vector<SlotAssignment>& runs) {
    for (const SlotAssignment& run : runs) {
      Node(address).released.push_back(
          {"divided", run.range, run.fence, "token"});
    }
  }

  Heartbeat& Node(const std::string& address) {
    const auto [found, is_new] = nodes.try_emplace(address);
    Heartbeat& heartbeat = found->second;
    if (is_new) {
      heartbeat.address = address;
      heartbeat.data_address = "data-" + address;
      heartbeat.incarnation = 1;
      heartbeat.target.state = Heartbeat::TargetState::kServing;
      heartbeat.target.incarnation = {"t-" + address, 0};
      heartbeat.target.service = "divided";
      heartbeat.target.concurrency = 8;
    }
    return heartbeat;
  }

  void Beat(const std::string& address) {
    Heartbeat& heartbeat = Node(address);
    ++heartbeat.sequence;
    leader->OnHeartbeat(heartbeat);
    const HeartbeatReply reply = leader->MakeReply(heartbeat);
    heartbeat.is_vote_promised = true;
    heartbeat.leader_nonce = reply.nonce;
    heartbeat.leader_stamp_ns = reply.stamp_ns;
    heartbeat.epoch = reply.view.epoch;
    heartbeat.view_version = reply.view.version;
    heartbeat.released.clear();
    heartbeat.slot_request_counts.clear();
    replies[address] = reply;
  }

  // All nodes but `silent` beat; the store answers at once.
  void Step(milliseconds step, const std::string& silent = {}) {
    clock.Advance(step);
    for (const auto& [address, heartbeat] : nodes) {
      if (address != silent)
        Beat(address);
    }
    leader->Tick();
    if (stores && leader->RecordToStore())
      leader->OnStored();
  }

  void Run(milliseconds duration, const std::string& silent = {}) {
    for (milliseconds t{0}; t < duration; t += milliseconds(50))
      Step(milliseconds(50), silent);
  }

  std::uint32_t SlotsOf(const std::string& address) const {
    const KeyTable* table = leader->view().FindTable("divided");
    return table == nullptr ? 0 : table->CountOwnedBy(address);
  }

  ManualClock clock;
  MeshTiming timing;
  std::unique_ptr<MeshLeader> leader;
  std::map<std::string, Heartbeat> nodes;
  std::map<std::string, HeartbeatReply> replies;
  bool stores = true;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture,
                  "a new mesh waits for its targets and shares the keys") {
  for (const char* address : {"a", "b", "c", "d"})
    Node(address);
  Run(milliseconds(1000));
  CHECK(SlotsOf("b") == 0);
  Run(milliseconds(2000));
  for (const char* address : {"a", "b", "c", "d"})
    CHECK(SlotsOf(address) == kSlotCount / 4);
}

// A node dies. Its target may hold keys until the lease that the leader granted
// last has run out; nobody gets them before, and somebody soon after.
TEST_CASE_FIXTURE(Fixture,
                  "keys of a lost node wait for its lease, not longer") {
  for (const char* address : {"a", "b", "c"})
    Node(address);
  Run(milliseconds(4000));
  REQUIRE(SlotsOf("b") > 0);
  const Clock::TimePoint last_beat = clock.Now();
  while (SlotsOf("b") > 0 && clock.Now() - last_beat < milliseconds(5000))
    Step(milliseconds(10), "b");
  const auto took = clock.Now() - last_beat;
  CHECK(took > timing.min_lease);
  CHECK(took < milliseconds(2100));
}

// A change that takes keys away waits for the store. Its old owner comes back
// meanwhile: with a lease for the published owner it would hold keys that the
// store is about to give to another.
TEST_CASE_FIXTURE(
    Fixture,
    "what is taken from a lost node is published before it is stored") {
  for (const char* address : {"a", "b", "c"})
    Node(address);
  Run(milliseconds(4000));
  stores = false;
  Run(milliseconds(2500), "b");
  CHECK(SlotsOf("b") == 0);
  const KeyTable* table = leader->view().FindTable("divided");
  CHECK(table->HasUnowned());
  Run(milliseconds(500));
  CHECK(SlotsOf("b") == 0);
  stores = true;
  leader->OnStored();
  Run(milliseconds(200));
  CHECK_FALSE(leader->view().FindTable("divided")->HasUnowned());
}

TEST_CASE_FIXTURE(
    Fixture,
    "a target that began a new life gets its keys by a higher fence") {
  for (const char* address : {"a", "b"})
    Node(address);
  Run(milliseconds(4000));
  const std::uint64_t fence =
      leader->view().FindTable("divided")->Find(0).fence;
  Node("a").target.incarnation = {"t-a", 99};
  Node("b").target.incarnation = {"t-b", 99};
  Run(milliseconds(500));
  const SlotAssignment& run = leader->view().FindTable("divided")->Find(0);
  CHECK(run.has_owner());
  CHECK(run.incarnation.started_unix_ms == 99);
  CHECK(run.fence > fence);
}

TEST_CASE_FIXTURE(Fixture,
                  "a target that drains is told to give its keys back, and "
                  "they go on with its handover") {
  for (const char* address : {"a", "b", "c"})
    Node(address);
  Run(milliseconds(4000));
  Node("b").target.state = Heartbeat::TargetState::kDraining;
  Run(milliseconds(100));
  const std::vector<SlotAssignment> moving = MovingRunsOf("b");
  REQUIRE_FALSE(moving.empty());
  GiveBack("b", moving);
  Run(milliseconds(100));
  CHECK(SlotsOf("b") == 0);
  CHECK(leader->view()
            .FindTable("divided")
            ->Find(moving[0].range.first)
            .handover == "token");
}

// The store goes away while keys move. Their owner has given them back; the one
// that is to get them was stored before, so they need not wait for the store.
// Guards against two holders of the keys of a node whose work takes long.
TEST_CASE_FIXTURE(Fixture, "keys of a lost node wait for its longer lease") {
  for (const char* address : {"a", "b", "c"})
    Node(address).mean_service_time_us = 500'000;
  Run(milliseconds(4000));
  REQUIRE(SlotsOf("b") > 0);
  const milliseconds lease(replies["b"].lease_ms);
  REQUIRE(lease > timing.min_lease);
  const Clock::TimePoint last_beat = clock.Now();
  while (SlotsOf("b") > 0 && clock.Now() - last_beat < milliseconds(5000))
    Step(milliseconds(10), "b");
  const auto took = clock.Now() - last_beat;
  CHECK(took > lease);
  CHECK(took < lease + milliseconds(200));
}

// Guards against the same when the leader is lost together with the node.
TEST_CASE_FIXTURE(Fixture, "the next leader waits for the longer leases") {
  for (const char* address : {"a", "b", "c"})
    Node(address).mean_service_time_us = 500'000;
  stores = false;
  MeshRecord stored;
  for (int i = 0; i < 80; ++i) {
    Step(milliseconds(50));
    if (const auto record = leader->RecordToStore()) {
      stored = *record;
      leader->OnStored();
    }
  }
  const milliseconds lease(replies["b"].lease_ms);
  REQUIRE(lease > timing.min_lease);
  REQUIRE(stored.max_lease >= lease);
  ++stored.epoch;
  Lead(stored);
  stores = true;
  const Clock::TimePoint claimed = clock.Now();
  while (SlotsOf("b") > 0 && clock.Now() - claimed < milliseconds(5000))
    Step(milliseconds(10), "b");
  CHECK(clock.Now() - claimed > lease);
}

TEST_CASE_FIXTURE(Fixture, "keys that move arrive while the store is away") {
  for (const char* address : {"a", "b", "c"})
    Node(address);
  Run(milliseconds(4000));
  Node("b").target.state = Heartbeat::TargetState::kDraining;
  Run(milliseconds(100));
  stores = false;
  GiveBack("b", MovingRunsOf("b"));
  Run(milliseconds(50));
  CHECK(SlotsOf("b") == 0);
  CHECK_FALSE(leader->view().FindTable("divided")->HasUnowned());
}

// Without the store nobody could be told later to whom the keys went: an owner
// that leaves is told to give them back only once that is stored.
TEST_CASE_FIXTURE(Fixture, "no key is asked back while the store is away") {
  for (const char* address : {"a", "b", "c"})
    Node(address);
  Run(milliseconds(4000));
  stores = false;
  Node("b").target.state = Heartbeat::TargetState::kDraining;
  Run(milliseconds(1000));
  CHECK(MovingRunsOf("b").empty());
  CHECK(SlotsOf("b") > 0);
}

// A leader is lost after it gave keys on and before it marked that in the
// record. The next one goes by the record: both may have had them, so it asks
// the first owner to give them back and gives them to the second, by the same
// token, and to nobody else.
TEST_CASE_FIXTURE(Fixture, "the next leader ends a move that was under way") {
  for (const char* address : {"a", "b", "c"})
    Node(address);
  Run(milliseconds(4000));
  Node("b").target.state = Heartbeat::TargetState::kDraining;
  Beat("b");
  leader->Tick();
  const auto record = leader->RecordToStore();
  REQUIRE(record.has_value());
  leader->OnStored();
  const std::vector<SlotAssignment> moving = MovingRunsOf("b");
  REQUIRE_FALSE(moving.empty());
  GiveBack("b", moving);
  Beat("b");
  REQUIRE(SlotsOf("b") == 0);
  Lead(*record);
  Run(milliseconds(1000));
  CHECK(MovingRunsOf("b") == moving);
  GiveBack("b", moving);
  Run(milliseconds(50));
  const KeyTable* table = leader->view().FindTable("divided");
  for (const SlotAssignment& run : moving) {
    CHECK(table->Find(run.range.first).owner == run.next.address);
    CHECK(table->Find(run.range.first).fence == run.next.fence);
  }
}

TEST_CASE_FIXTURE(
    Fixture,
    "without the votes of more than half nothing is granted or moved") {
  for (const char* address : {"a", "b", "c", "d", "e"})
    Node(address);
  Run(milliseconds(4000));
  REQUIRE(leader->HasAuthority());
  nodes.erase("c");
  nodes.erase("d");
  nodes.erase("e");
  Run(milliseconds(3000));
  CHECK_FALSE(leader->HasAuthority());
  CHECK(replies["b"].lease_ms == 0);
  CHECK(SlotsOf("c") > 0);
}

// Keys are given to a node; while that is being stored the node is lost, and
// the keys are to go to a third. Published when it is stored after all, the
// first change would have the node, back by then, hold what the next gives
// away.
TEST_CASE_FIXTURE(Fixture, "a change that was overtaken is not published") {
  for (const char* address : {"a", "b", "c", "d", "e"})
    Node(address);
  Run(milliseconds(4000));
  stores = false;
  Run(milliseconds(2500), "b");
  REQUIRE(leader->RecordToStore().has_value());
  const std::uint32_t before = SlotsOf("c");
  nodes.erase("b");
  Run(milliseconds(2500), "c");
  REQUIRE(SlotsOf("c") == 0);
  leader->OnStored();
  CHECK(before > 0);
  CHECK(SlotsOf("c") == 0);
}

// Those that should read the store can't: without others a new configuration
// would stay unread.
TEST_CASE_FIXTURE(Fixture,
                  "other nodes read the store when those that should can't") {
  for (const char* address : {"a", "b", "c", "d", "e"})
    Node(address);
  Run(milliseconds(500));
  const auto reads = [this](const char* address) {
    return replies[address].reads_store;
  };
  REQUIRE(reads("b"));
  REQUIRE(reads("c"));
  CHECK_FALSE(reads("d"));
  Node("c").is_store_answering = true;
  Run(milliseconds(400));
  CHECK_FALSE(reads("b"));
  CHECK(reads("c"));
  CHECK(reads("d"));
  Node("d").is_store_answering = true;
  Run(milliseconds(2000));
  CHECK(reads("c"));
  CHECK(reads("d"));
  CHECK(leader->CanSuccessorReachStore());
}

// Guards against a long configuration that takes a weak host's link and loop,
// and against fit hosts that are all cut off from the store.
TEST_CASE_FIXTURE(Fixture, "the fittest hosts read the store while they can") {
  for (const char* address : {"a", "b", "c", "d", "e"})
    Node(address).leader_fitness_milli = address[0] >= 'd' ? 1000 : 200;
  Run(milliseconds(500));
  const auto reads = [this](const char* address) {
    return replies[address].reads_store;
  };
  CHECK(reads("d"));
  CHECK(reads("e"));
  bool was_weak_tried = false;
  for (int i = 0; i < 50 && !was_weak_tried; ++i) {
    Run(milliseconds(100));
    was_weak_tried = reads("b") || reads("c");
  }
  CHECK(was_weak_tried);
}

TEST_CASE_FIXTURE(Fixture, "among equal hosts no leader gives way") {
  for (const char* address : {"a", "b", "c"})
    Node(address).is_store_answering = true;
  Run(milliseconds(8000));
  REQUIRE(leader->HasAuthority());
  CHECK(leader->FindFitterLeader().empty());
}

// Many nodes are lost at once, and one on a weak host is elected. Those on fit
// hosts come back, but it leads on with all of its processor, and nodes that
// wait for its late answers take it for lost again and again.
TEST_CASE_FIXTURE(Fixture, "a leader gives way to a host that is far fitter") {
  Node("a").leader_fitness_milli = 100;
  Node("b").leader_fitness_milli = 150;
  Node("b").is_store_answering = true;
  Run(milliseconds(4000));
  CHECK(leader->FindFitterLeader().empty());
  Node("c").leader_fitness_milli = 1000;
  Node("c").is_store_answering = true;
  Run(milliseconds(2500));
  CHECK(leader->FindFitterLeader().empty());
  Run(milliseconds(1000));
  CHECK(leader->FindFitterLeader() == "c");
  Node("c").is_store_answering = false;
  Run(milliseconds(100));
  CHECK(leader->FindFitterLeader().empty());
}

TEST_CASE_FIXTURE(Fixture,
                  "a heartbeat that was overtaken does not bring old news") {
  for (const char* address : {"a", "b"})
    Node(address);
  Run(milliseconds(4000));
  Heartbeat old = Node("b");
  Node("b").target.state = Heartbeat::TargetState::kServing;
  Beat("b");
  old.target.state = Heartbeat::TargetState::kGone;
  leader->OnHeartbeat(old);
  Run(milliseconds(100));
  CHECK(SlotsOf("b") > 0);
}

}  // namespace citrongrade
