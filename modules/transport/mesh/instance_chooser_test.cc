#include "modules/transport/mesh/instance_chooser.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

#include "modules/coordination/load/target_call_outcome.h"
#include "modules/coordination/manual_clock.h"
#include "modules/state/mesh/mesh_view.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

class Fixture {
 public:
  Fixture() { view.BeginEpoch(1); }

  void SetMemberState(const char* address, MeshMember::State state) {
    MeshMember member;
    member.address = address;
    member.zone = "zone";
    member.service = "plain";
    member.concurrency = 4;
    member.state = state;
    view.SetMember(member);
    chooser.Refresh(view);
  }

  // Returns how many of 20 requests go to the address. Each ends at once.
  int CountTo(const std::string& address) {
    int count = 0;
    for (int i = 0; i < 20; ++i) {
      const auto chosen = chooser.Choose("plain", {});
      if (!chosen)
        continue;
      count += *chosen == address ? 1 : 0;
      chooser.OnFinished("plain", *chosen, "route", TargetCallOutcome::kDone,
                         milliseconds(20), milliseconds(400));
    }
    return count;
  }

  ManualClock clock;
  MeshView view;
  InstanceChooser chooser{clock, "zone"};
};

}  // namespace

// Guards against requests that may run in one region only and find nobody there
// by chance.
TEST_CASE_FIXTURE(Fixture, "the one member that is left is always found") {
  std::set<std::string> excluded;
  for (int i = 0; i < 40; ++i) {
    const std::string address = "m" + std::to_string(i);
    SetMemberState(address.c_str(), MeshMember::State::kServing);
    if (i != 17)
      excluded.insert(address);
  }
  for (int i = 0; i < 20; ++i)
    CHECK(chooser.Choose("plain", excluded) == "m17");
}

TEST_CASE_FIXTURE(Fixture, "a draining member gets no requests") {
  SetMemberState("a", MeshMember::State::kServing);
  SetMemberState("b", MeshMember::State::kServing);
  CHECK(CountTo("a") > 0);
  SetMemberState("a", MeshMember::State::kDraining);
  CHECK(CountTo("a") == 0);
  CHECK(CountTo("b") == 20);
}

// A node drained and was back within a quarter of a second. The next view that
// other nodes got showed it as serving and not that it had been away, so it was
// kept out for good and all requests for its service were refused there.
TEST_CASE_FIXTURE(Fixture,
                  "a member that left and is back gets requests again") {
  SetMemberState("a", MeshMember::State::kServing);
  SetMemberState("a", MeshMember::State::kDraining);
  REQUIRE_FALSE(chooser.Choose("plain", {}).has_value());
  SetMemberState("a", MeshMember::State::kServing);
  CHECK(CountTo("a") == 20);
}

TEST_CASE_FIXTURE(Fixture, "an absent member gets no requests") {
  SetMemberState("a", MeshMember::State::kServing);
  SetMemberState("a", MeshMember::State::kAbsent);
  CHECK_FALSE(chooser.Choose("plain", {}).has_value());
  SetMemberState("a", MeshMember::State::kServing);
  CHECK(CountTo("a") == 20);
}

// Guards against a target that takes only so many requests a second, is ejected
// for its refusals and gets none for seconds.
TEST_CASE_FIXTURE(Fixture,
                  "a paused member gets requests when its time comes") {
  SetMemberState("a", MeshMember::State::kServing);
  SetMemberState("b", MeshMember::State::kServing);
  for (int i = 0; i < 50; ++i) {
    const auto chosen = chooser.Choose("plain", {"b"});
    REQUIRE(chosen == "a");
    chooser.OnFinished("plain", "a", "route", TargetCallOutcome::kPaced,
                       milliseconds(1), milliseconds(400));
    chooser.Pause("plain", "a", milliseconds(80));
    CHECK(CountTo("a") == 0);
    CHECK(chooser.HasAlternative("plain", {}));
    CHECK_FALSE(chooser.HasAlternative("plain", {"b"}));
    clock.Advance(milliseconds(80));
    chooser.Refresh(view);
  }
  CHECK(CountTo("a") > 0);
}

// Guards against callers who wait to hear that no target takes their requests.
TEST_CASE_FIXTURE(Fixture, "with all members paused there is none to choose") {
  SetMemberState("a", MeshMember::State::kServing);
  SetMemberState("b", MeshMember::State::kServing);
  CHECK_FALSE(chooser.TimeUntilResumed("plain").has_value());
  chooser.Pause("plain", "a", milliseconds(300));
  chooser.Pause("plain", "b", milliseconds(80));
  CHECK_FALSE(chooser.Choose("plain", {}).has_value());
  CHECK(chooser.TimeUntilResumed("plain") == milliseconds(80));
  clock.Advance(milliseconds(80));
  CHECK(chooser.Choose("plain", {}) == "b");
}

}  // namespace citrongrade
