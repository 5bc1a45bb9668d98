#include "modules/coordination/log_follower.h"

#include <doctest/doctest.h>

#include "modules/coordination/testing/fake_snapshot_codec.h"
#include "modules/state/accept_all_config.h"

namespace citrongrade {

namespace {

class SilentObserver final : public LogFollower::Observer {
 public:
  void BeforeApply(const LogEntry& /*entry*/) override {}
  void AfterApply(const LogEntry& /*entry*/,
                  const ApplyResult& /*result*/) override {}
  void OnRestored() override { ++m_restored; }
  void OnSnapshot(LogOffset /*taken_at*/) override {}

  int restored() const { return m_restored; }

 private:
  int m_restored = 0;
};

// A log whose snapshot stands in two chunks among joins.
class Fixture {
 public:
  Fixture() : m_follower(m_accept_all, m_codec, m_observer) {
    AddJoin();
    AddJoin();
    MeshState state(m_accept_all);
    for (const LogEntry& entry : m_log) {
      state.Apply(entry);
    }
    m_payload = m_codec.Encode(state.Image());
    AddJoin();
  }

  void AddJoin() {
    JoinRecord join;
    join.node = NodeId("node-" + std::to_string(m_log.size()));
    Add(join);
  }
  void AddChunk(std::uint32_t index, std::uint64_t hash) {
    const std::size_t half = m_payload.size() / 2;
    Add(SnapshotRecord{RecordId("snapshot"), LogOffset(3), index, 2, hash,
                       m_payload.substr(index * half, half)});
  }
  std::uint64_t hash() const { return SnapshotAssembler::HashOf(m_payload); }
  // The log from its third record on.
  void ReadFromThird() {
    m_follower.OnGap(LogOffset(3));
    m_follower.OnEntries({m_log.begin() + 2, m_log.end()});
    m_follower.OnEnd(LogOffset(m_log.size() + 1));
  }

  LogFollower& follower() { return m_follower; }
  const SilentObserver& observer() const { return m_observer; }

 private:
  void Add(const Record& record) {
    const LogOffset offset(m_log.size() + 1);
    m_log.push_back({offset, RecordId(std::to_string(offset.value())), record});
  }

  AcceptAllConfig m_accept_all;
  FakeSnapshotCodec m_codec;
  SilentObserver m_observer;
  LogFollower m_follower;
  std::vector<LogEntry> m_log;
  std::string m_payload;
};

}  // namespace

// A node starts when the first records are gone. It finds the snapshot behind
// a record that the snapshot does not hold, restores, and applies that one too.
TEST_CASE("a snapshot and what was read since make the state whole") {
  Fixture fixture;
  fixture.AddChunk(0, fixture.hash());
  fixture.AddJoin();
  fixture.AddChunk(1, fixture.hash());
  fixture.ReadFromThird();
  CHECK(fixture.follower().HasCaughtUp());
  CHECK(fixture.observer().restored() == 1);
  CHECK(fixture.follower().state().members().size() == 4);
}

// A snapshot is broken or was never finished. A node that took it would route
// by a wrong table, so it stays unready.
TEST_CASE("a broken or unfinished snapshot leaves the node unready") {
  Fixture broken;
  broken.AddChunk(0, 1);
  broken.AddChunk(1, 1);
  broken.ReadFromThird();
  CHECK_FALSE(broken.follower().HasCaughtUp());
  Fixture unfinished;
  unfinished.AddChunk(0, unfinished.hash());
  unfinished.AddJoin();
  unfinished.ReadFromThird();
  CHECK_FALSE(unfinished.follower().HasCaughtUp());
  CHECK(unfinished.follower().in_gap());
}

TEST_CASE("a node that has not read up to its start's end is not caught up") {
  Fixture fixture;
  fixture.follower().OnEnd(LogOffset(2));
  CHECK_FALSE(fixture.follower().HasCaughtUp());
}

}  // namespace citrongrade
