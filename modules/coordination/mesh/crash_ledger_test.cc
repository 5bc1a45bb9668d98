#include "modules/coordination/mesh/crash_ledger.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/mesh/crash_reporter.h"
#include "modules/coordination/mesh/heartbeat.h"

namespace citrongrade {

namespace {

constexpr RequestFingerprint kPoison(666);
constexpr RequestFingerprint kOther(1);

// One process of a node.
struct Node {
  Node(const Clock& clock, std::string address, std::uint64_t incarnation)
      : detector(clock, PoisonDetector::Parameters{}),
        reporter(detector),
        address(std::move(address)),
        incarnation(incarnation) {}

  void Crash(std::vector<RequestFingerprint> running) {
    detector.OnCrash(running);
  }

  PoisonDetector detector;
  CrashReporter reporter;
  const std::string address;
  const std::uint64_t incarnation;
  // Of the leader whose reply it got last.
  std::uint64_t leader_nonce = 0;
};

// A leader, whose record is stored when Store() is called.
class Fixture {
 public:
  Fixture() { Lead(); }

  // The next leader claims the mesh with what is stored.
  void Lead() {
    ++m_nonce;
    m_ledger = std::make_unique<CrashLedger>(m_clock, m_stored);
  }

  void Store() {
    m_stored = m_ledger->BeginStore();
    m_ledger->OnStored();
  }

  std::shared_ptr<Node> Start(const std::string& address) {
    return std::make_shared<Node>(m_clock, address, ++m_incarnations);
  }

  void Beat(Node& node, bool is_reply_lost = false) {
    Heartbeat heartbeat;
    heartbeat.address = node.address;
    heartbeat.incarnation = node.incarnation;
    heartbeat.crash_report = node.reporter.MakeReport();
    m_ledger->OnHeartbeat(heartbeat);
    const CrashReportReply reply =
        m_ledger->MakeReply(heartbeat, node.leader_nonce == m_nonce);
    if (is_reply_lost)
      return;
    node.leader_nonce = m_nonce;
    node.reporter.OnReply(reply, m_nonce);
  }

  CrashLedger& ledger() { return *m_ledger; }
  ManualClock& clock() { return m_clock; }

 private:
  ManualClock m_clock;
  std::vector<CrashSuspect> m_stored;
  std::unique_ptr<CrashLedger> m_ledger;
  std::uint64_t m_nonce = 0;
  std::uint64_t m_incarnations = 0;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "crashes that three nodes see quarantine at all") {
  std::vector<std::shared_ptr<Node>> nodes;
  for (const char* address : {"a", "b", "c", "d"})
    nodes.push_back(Start(address));
  for (int i = 0; i < 3; ++i) {
    nodes[i]->Crash({kPoison, RequestFingerprint(100 + i)});
    Beat(*nodes[i]);
  }
  for (const auto& node : nodes) {
    Beat(*node);
    CHECK(node->detector.IsQuarantined(kPoison));
    CHECK_FALSE(node->detector.IsQuarantined(RequestFingerprint(100)));
  }
}

// Guards against a poisoned request that runs again after all processes of the
// mesh have been replaced.
TEST_CASE_FIXTURE(Fixture, "crashes are known after all nodes have restarted") {
  auto node = Start("a");
  for (int i = 0; i < 3; ++i) {
    node->Crash({kPoison});
    Beat(*node);
    REQUIRE(ledger().NeedsStore());
    Store();
    Lead();
    node = Start("a");
    Beat(*node);
  }
  CHECK(node->detector.IsQuarantined(kPoison));
  CHECK_FALSE(ledger().NeedsStore());
}

// Guards against a crash that the mesh forgets because the leader that was told
// of it is lost before it is stored.
TEST_CASE_FIXTURE(Fixture, "a crash is told to the next leader until stored") {
  auto node = Start("a");
  node->Crash({kPoison});
  Beat(*node);
  Beat(*node);
  Lead();
  // The first heartbeat still leaves out what the last leader received.
  Beat(*node);
  Beat(*node);
  CHECK(ledger().NeedsStore());
  Store();
  Beat(*node);
  CHECK(node->detector.UnreportedChanges(0).empty());
}

// Guards against a crash that is lost with one heartbeat or its reply.
TEST_CASE_FIXTURE(Fixture, "a report whose reply is lost is sent again") {
  auto node = Start("a");
  node->Crash({kPoison});
  static_cast<void>(node->reporter.MakeReport());
  Beat(*node, true);
  CHECK_FALSE(node->detector.UnreportedChanges(0).empty());
  Beat(*node);
  Beat(*node);
  CHECK(node->detector.CrashCount(kPoison) == 1);
  auto other = Start("b");
  other->Crash({kPoison});
  Beat(*other);
  Beat(*node);
  CHECK(node->detector.CrashCount(kPoison) == 2);
}

// Guards against an acknowledgement of what this leader never got: the node had
// left it out, as the previous leader had received it.
TEST_CASE_FIXTURE(Fixture, "a leader acknowledges only what it has received") {
  auto node = Start("a");
  node->Crash({kPoison});
  Beat(*node);
  Lead();
  Beat(*node, true);
  Store();
  Beat(*node);
  CHECK_FALSE(node->detector.UnreportedChanges(0).empty());
  Beat(*node);
  Store();
  Beat(*node);
  CHECK(node->detector.UnreportedChanges(0).empty());
}

// Guards against innocent requests that stay suspects after a change of leader.
TEST_CASE_FIXTURE(Fixture, "what was cleared stays cleared") {
  auto a = Start("a");
  auto b = Start("b");
  a->Crash({kOther});
  b->Crash({kOther});
  Beat(*a);
  Beat(*b);
  // It hears of the crash at the other node.
  Beat(*a);
  a->detector.OnFinished(kOther);
  Beat(*a);
  clock().Advance(std::chrono::seconds(61));
  REQUIRE(ledger().NeedsStore());
  Store();
  Lead();
  auto c = Start("c");
  Beat(*c);
  Beat(*b);
  CHECK(c->detector.CrashCount(kOther) == 0);
  CHECK(b->detector.CrashCount(kOther) == 0);
}

// Guards against a leader that stores at each heartbeat for no reason.
TEST_CASE_FIXTURE(Fixture, "nothing is stored while nothing is new") {
  CHECK_FALSE(ledger().NeedsStore());
  auto node = Start("a");
  Beat(*node);
  CHECK_FALSE(ledger().NeedsStore());
  node->Crash({kPoison});
  Beat(*node);
  CHECK(ledger().NeedsStore());
  Store();
  for (int i = 0; i < 5; ++i)
    Beat(*node);
  CHECK_FALSE(ledger().NeedsStore());
  clock().Advance(std::chrono::hours(1));
  Store();
  clock().Advance(std::chrono::hours(1));
  CHECK_FALSE(ledger().NeedsStore());
}

// Guards against a mesh that hears of no more crashes once many requests have
// been suspects.
TEST_CASE_FIXTURE(Fixture, "a poisoned request is found after many suspects") {
  auto node = Start("a");
  for (std::uint64_t i = 0; i < 3000; i += 10) {
    std::vector<RequestFingerprint> running;
    for (std::uint64_t k = 0; k < 10; ++k)
      running.emplace_back(1000 + i + k);
    node->Crash(running);
    Beat(*node);
  }
  auto other = Start("b");
  for (int i = 0; i < 3; ++i) {
    auto witness = Start("w" + std::to_string(i));
    witness->Crash({kPoison});
    Beat(*witness);
  }
  Beat(*other);
  CHECK(other->detector.IsQuarantined(kPoison));
}

// Guards against crashes that the mesh forgets without a sign of it.
TEST_CASE_FIXTURE(Fixture, "suspects that find no room are counted") {
  auto node = Start("a");
  std::uint64_t next = 1000;
  const auto crash = [&node, &next](std::size_t count) {
    std::vector<RequestFingerprint> running;
    for (std::size_t i = 0; i < count; ++i)
      running.emplace_back(next++);
    node->Crash(running);
  };
  crash(512);
  Beat(*node);
  CHECK(ledger().evicted_count() == 0);
  crash(3);
  Beat(*node);
  CHECK(ledger().evicted_count() == 3);
  Beat(*node);
  CHECK(ledger().evicted_count() == 3);
}

// Guards against crashes that are forgotten, or counted twice, by any order of
// lost replies, lost nodes and changes of leader: what a live node, the leader
// or the store knows has to reach every node in the end.
TEST_CASE("no order of losses forgets a crash that anybody knows") {
  constexpr int kSchedules = 300;
  constexpr int kSteps = 60;
  constexpr std::size_t kNodes = 4;
  for (std::uint64_t seed = 0; seed < kSchedules; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    Fixture mesh;
    std::vector<std::shared_ptr<Node>> nodes;
    const auto address_of = [](std::size_t i) { return std::to_string(i); };
    for (std::size_t i = 0; i < kNodes; ++i)
      nodes.push_back(mesh.Start(address_of(i)));
    std::size_t crashes = 0;
    // Crashes of which every copy may be gone.
    std::size_t lost = 0;
    for (int step = 0; step < kSteps; ++step) {
      const std::size_t i = random() % kNodes;
      switch (random() % 8) {
        case 0:
          nodes[i]->Crash({kPoison, RequestFingerprint(1000 + crashes)});
          ++crashes;
          break;
        case 1: {
          // Counts only what neither the leader nor the store may know.
          for (const CrashSuspect& suspect :
               nodes[i]->detector.UnreportedChanges(0))
            lost += suspect.fingerprint == kPoison.value()
                        ? suspect.crashes.size()
                        : 0;
          nodes[i] = mesh.Start(address_of(i));
          break;
        }
        case 2:
          mesh.Lead();
          break;
        case 3:
          mesh.Store();
          break;
        default:
          mesh.Beat(*nodes[i], random() % 4 == 0);
      }
    }
    for (int round = 0; round < 4; ++round) {
      for (const auto& node : nodes)
        mesh.Beat(*node);
      mesh.Store();
    }
    for (const auto& node : nodes) {
      const std::size_t known = node->detector.CrashCount(kPoison);
      CHECK(known <= crashes);
      // A single crash stays with the node that saw it.
      if (crashes >= lost + 2)
        CHECK(known + lost >= crashes);
      CHECK(node->detector.UnreportedChanges(0).empty());
    }
  }
}

}  // namespace citrongrade
