#include <doctest/doctest.h>

#include <ctime>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/mesh/mesh_leader.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kNonce = 7;
constexpr std::size_t kTargets = 62;
constexpr std::size_t kNodes = 90;

std::chrono::nanoseconds ProcessorTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

std::string AddressOf(std::size_t node) {
  return "10.1.0." + std::to_string(10 + node) + ":7500";
}

TargetLife LifeOf(std::size_t node, int life) {
  return {"i-" + std::to_string(1000000000 + node * 10 + life), 0};
}

MeshRecord RecordOfTornTable(std::size_t runs) {
  MeshRecord record;
  record.epoch = 3;
  record.leader = AddressOf(5);
  KeyTable& table = record.tables["divided"];
  const std::uint32_t size = kSlotCount / runs;
  for (std::size_t i = 0; i < runs; ++i) {
    OwnedRun run;
    run.range = {static_cast<std::uint32_t>(i * size),
                 static_cast<std::uint32_t>(i + 1 == runs ? kSlotCount - 1 : (i + 1) * size - 1)};
    const std::size_t owner = (i * 37) % kTargets;
    run.owner = AddressOf(owner);
    run.life = LifeOf(owner, 0);
    run.fence = i + 1;
    run.handover = "5c0e7a21d94b36f8";
    table.Assign(run);
  }
  for (std::size_t i = 0; i < kNodes; ++i)
    record.voters.push_back(AddressOf(i));
  return record;
}

}  // namespace

TEST_CASE("scratch") {
  for (std::size_t runs : {200, 800, 1600}) {
    ManualClock clock;
    MeshTiming timing;
    MeshRecord record = RecordOfTornTable(runs);
    MeshLeader leader(clock, timing, AddressOf(0), kNonce, record);
    leader.SetDividedServices({"divided"});
    std::vector<Heartbeat> nodes(kNodes);
    for (std::size_t i = 0; i < kNodes; ++i) {
      Heartbeat& h = nodes[i];
      h.address = AddressOf(i);
      h.data_address = AddressOf(i);
      h.zone = "zone-a";
      h.incarnation = 1;
      h.store_answers = true;
      h.target.state = Heartbeat::TargetState::kServing;
      h.target.life = LifeOf(i, 1);
      h.target.service = i < kTargets ? "divided" : "other";
      h.target.slots = 9;
      h.promises = true;
      leader.OnVote(h.address, clock.Now());
    }
    int stored = 0;
    for (int step = 0; step < 75; ++step) {
      clock.Advance(milliseconds(40));
      const auto a = ProcessorTime();
      std::size_t replies = 0;
      for (std::size_t i = step % 6; i < kNodes; i += 6) {
        Heartbeat& h = nodes[i];
        ++h.sequence;
        h.target.state = Heartbeat::TargetState::kServing;
        for (std::uint32_t s = 0; s < 20; ++s)
          h.arrivals.push_back({(static_cast<std::uint32_t>(i) * 97 + s * 31) % kSlotCount, 2});
        leader.OnHeartbeat(h);
        const HeartbeatReply reply = leader.MakeReply(h);
        replies += reply.view.runs.size();
        h.leader_nonce = reply.nonce;
        h.leader_stamp_ns = reply.stamp_ns;
        h.epoch = reply.view.epoch;
        h.view_version = reply.view.version;
        h.arrivals.clear();
      }
      const auto b = ProcessorTime();
      leader.Tick();
      const auto c = ProcessorTime();
      if (leader.RecordToStore()) {
        ++stored;
        leader.OnStored();
      }
      const auto d = ProcessorTime();
      const auto us = [](auto x) { return std::chrono::duration_cast<std::chrono::microseconds>(x).count(); };
      if (us(d - a) > 10000 || step % 25 == 24)
        MESSAGE("runs " << runs << " step " << step << " beats " << us(b - a) << " tick " << us(c - b) << " store " << us(d - c) << " table " << leader.view().FindTable("divided")->runs().size() << " sent runs " << replies << " stored " << stored);
    }
  }
}

}  // namespace citrongrade
