#include "modules/coordination/mesh/election_delay.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "modules/state/mesh/mesh_member.h"
#include "modules/state/mesh/mesh_view.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kEpoch = 5;
constexpr std::size_t kNodes = 86;

std::string AddressOf(std::size_t node) {
  return "10.0.0." + std::to_string(node) + ":7240";
}

MeshMember Member(std::size_t node, std::uint32_t fitness) {
  MeshMember member;
  member.address = AddressOf(node);
  member.leader_fitness_milli = fitness;
  member.state = MeshMember::State::kServing;
  return member;
}

// Every fifteenth host has half a core, the others a tenth of one.
MeshView LargeMesh() {
  MeshView view;
  view.BeginEpoch(kEpoch);
  for (std::size_t node = 0; node < kNodes; ++node)
    view.SetMember(Member(node, node % 15 == 0 ? 1000 : 100));
  return view;
}

}  // namespace

TEST_CASE("the fittest candidates go first, one at a time") {
  const MeshView view = LargeMesh();
  const ElectionDelay election_delay(view, AddressOf(0), kEpoch);
  std::map<milliseconds, std::size_t> delays;
  for (std::size_t node = 1; node < kNodes; ++node)
    ++delays[election_delay.DelayFor(AddressOf(node), 7)];
  CHECK(delays.begin()->first == milliseconds(0));
  CHECK(delays.begin()->second == 1);
  CHECK(std::next(delays.begin())->second == 1);
  for (std::size_t node = 1; node < kNodes; ++node) {
    if (node % 15 != 0)
      CHECK(election_delay.DelayFor(AddressOf(node), 7) > milliseconds(0));
  }
}

TEST_CASE("the lost leader and absent nodes have no rank") {
  MeshView view;
  view.BeginEpoch(kEpoch);
  view.SetMember(Member(1, 1000));
  MeshMember absent = Member(2, 900);
  absent.state = MeshMember::State::kAbsent;
  view.SetMember(absent);
  view.SetMember(Member(3, 100));
  const ElectionDelay election_delay(view, AddressOf(1), kEpoch);
  CHECK(election_delay.DelayFor(AddressOf(3), 0) == milliseconds(0));
}

TEST_CASE("a node that is not in the view waits for all ranked nodes") {
  const MeshView view = LargeMesh();
  const ElectionDelay election_delay(view, AddressOf(0), kEpoch);
  CHECK(election_delay.DelayFor("10.9.9.9:7240", 0) >= milliseconds(600));
}

// Guards against split votes, which leave the mesh without a leader and refuse
// callers meanwhile. All nodes miss the leader within one heartbeat, vote
// requests take up to 80 ms over saturated links, and a voter binds its vote to
// the first candidate that asks for longer than the election takes.
TEST_CASE("one election in a large mesh finds a leader") {
  constexpr int kElections = 200;
  std::mt19937_64 random(3);
  const MeshView view = LargeMesh();
  const ElectionDelay election_delay(view, AddressOf(0), kEpoch);
  int decided = 0;
  for (int election = 0; election < kElections; ++election) {
    std::vector<std::pair<milliseconds, std::size_t>> starts;
    for (std::size_t node = 1; node < kNodes; ++node) {
      const milliseconds missed(random() % 60);
      starts.emplace_back(
          missed + election_delay.DelayFor(AddressOf(node), random()), node);
    }
    std::map<std::size_t, std::size_t> votes;
    for (std::size_t voter = 1; voter < kNodes; ++voter) {
      std::pair<milliseconds, std::size_t> first{milliseconds::max(), 0};
      for (const auto& [start, candidate] : starts) {
        const milliseconds transit(voter == candidate ? 0 : 5 + random() % 75);
        first = std::min(first, {start + transit, candidate});
      }
      ++votes[first.second];
    }
    const bool is_decided = std::any_of(
        votes.begin(), votes.end(),
        [](const auto& entry) { return entry.second > kNodes / 2; });
    decided += is_decided ? 1 : 0;
  }
  CHECK(decided == kElections);
}

}  // namespace citrongrade
