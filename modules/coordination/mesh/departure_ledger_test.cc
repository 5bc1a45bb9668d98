#include "modules/coordination/mesh/departure_ledger.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/mesh/departure_tracker.h"
#include "modules/coordination/mesh/heartbeat.h"

namespace citrongrade {

namespace {

const TargetIncarnation kTarget{"t-1", 0};
const std::string kNode = "node-1";
constexpr bool kIsStartup = true;

// A leader, whose record is stored when Store() is called, and one node.
class Fixture {
 public:
  Fixture() {
    StartNode();
    Lead();
  }

  // The next leader claims the mesh with what is stored.
  void Lead() { m_ledger = std::make_unique<DepartureLedger>(clock, m_stored); }

  void Store() {
    m_stored = m_ledger->BeginStore();
    m_ledger->OnStored();
  }

  // A new process of the node.
  void StartNode() { tracker = std::make_unique<DepartureTracker>(clock); }

  void Beat() {
    Heartbeat heartbeat;
    heartbeat.address = kNode;
    heartbeat.departures = tracker->MakeReport();
    m_ledger->OnHeartbeat(heartbeat);
    tracker->OnReply(m_ledger->MakeReply(kNode));
  }

  const DepartureLedger& ledger() const { return *m_ledger; }

  ManualClock clock;
  std::unique_ptr<DepartureTracker> tracker;

 private:
  std::vector<TargetDeparture> m_stored;
  std::unique_ptr<DepartureLedger> m_ledger;
};

}  // namespace

// Guards against a confirmation that no later process can know of.
TEST_CASE_FIXTURE(Fixture, "a departure counts as stored once it is") {
  tracker->Add(kTarget);
  Beat();
  CHECK(ledger().NeedsStore());
  CHECK_FALSE(tracker->IsStored(kTarget.id));
  const std::uint64_t before = ledger().VersionOf(kNode);
  Store();
  CHECK(ledger().VersionOf(kNode) > before);
  CHECK_FALSE(ledger().NeedsStore());
  Beat();
  CHECK(tracker->IsStored(kTarget.id));
  CHECK(tracker->MakeReport().unstored.empty());
}

// Guards against a new process that serves a target which has left.
TEST_CASE_FIXTURE(Fixture, "new processes learn of a departure") {
  tracker->Add(kTarget);
  Beat();
  Store();
  StartNode();
  Lead();
  CHECK_FALSE(tracker->is_loaded());
  Beat();
  CHECK(tracker->is_loaded());
  const auto* departure = tracker->Find(kTarget, !kIsStartup);
  REQUIRE(departure != nullptr);
  CHECK_FALSE(departure->heard_at);
}

// Guards against a departure that is lost with the leader which was storing it.
TEST_CASE_FIXTURE(Fixture, "a departure is reported until it is stored") {
  tracker->Add(kTarget);
  Beat();
  Lead();
  CHECK_FALSE(ledger().NeedsStore());
  Beat();
  CHECK(ledger().NeedsStore());
}

// Guards against a target that is never served again under its id.
TEST_CASE_FIXTURE(Fixture, "a new process of the target ends its departure") {
  tracker->Add(kTarget);
  Beat();
  Store();
  Beat();
  CHECK(tracker->Find(kTarget, kIsStartup) == nullptr);
  tracker->Retract(kTarget.id);
  Beat();
  CHECK(tracker->Find(kTarget, !kIsStartup) == nullptr);
  Store();
  Beat();
  CHECK(tracker->MakeReport().retracted_ids.empty());
  StartNode();
  Beat();
  CHECK(tracker->Find(kTarget, !kIsStartup) == nullptr);
}

// Guards against a second departure under the same id that is confirmed by what
// is stored of the first, while that is being removed.
TEST_CASE_FIXTURE(Fixture, "a departure that is being removed isn't stored") {
  tracker->Add(kTarget);
  Beat();
  Store();
  Beat();
  tracker->Retract(kTarget.id);
  Beat();
  DepartureLedger storing = ledger();
  storing.BeginStore();
  CHECK(storing.MakeReply(kNode).stored.empty());
}

// Guards against a process with the same id and another start time that is
// taken for the one that has left.
TEST_CASE_FIXTURE(Fixture, "start times tell processes of a target apart") {
  tracker->Add({"t-1", 1000});
  CHECK(tracker->Find({"t-1", 1000}, kIsStartup) != nullptr);
  CHECK(tracker->Find({"t-1", 2000}, !kIsStartup) == nullptr);
}

// Guards against a record that grows without bound.
TEST_CASE_FIXTURE(Fixture, "departures are forgotten after a while") {
  tracker->Add(kTarget);
  Beat();
  Store();
  Beat();
  clock.Advance(std::chrono::minutes(3));
  Store();
  CHECK(ledger().MakeReply(kNode).stored.empty());
}

// Guards against departures of one node that are told to another.
TEST_CASE_FIXTURE(Fixture, "a node is told of its own departures only") {
  tracker->Add(kTarget);
  Beat();
  Store();
  CHECK(ledger().MakeReply("node-0").stored.empty());
  CHECK(ledger().MakeReply("node-2").stored.empty());
  CHECK(ledger().MakeReply(kNode).stored.size() == 1);
}

}  // namespace citrongrade
