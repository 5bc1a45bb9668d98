#include <doctest/doctest.h>

#include "modules/coordination/id_registrar.h"
#include "modules/coordination/manual_clock.h"
#include "modules/coordination/request_id_memory.h"
#include "modules/coordination/witnessed_ids.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MemberId kOwner{NodeId("owner"), Incarnation(1)};
const ServiceId kService{WorkspaceName("mesh"), ServiceName("alpha")};
const SlotIndex kSlot(3);

RegisteredId MakeId(std::uint64_t number) {
  return {kSlot, {number, number}, milliseconds(0), seconds(60)};
}

ProtectedRequest MakeRequest(std::uint64_t number) {
  return {kService, kSlot, {number, number}, false, seconds(60)};
}

WitnessSet MakeSet(std::uint64_t version, int first, int count) {
  WitnessSet set{WitnessSetVersion(version), {}};
  for (int i = first; i < first + count; ++i) {
    set.witnesses.push_back(
        {{NodeId("witness-" + std::to_string(i)), Incarnation(2)}, "", ""});
  }
  return set;
}

}  // namespace

// The memory of answers is full, the ids of long ago are still within their
// horizon. A resend of such an id is told "unknown"; it never runs again.
TEST_CASE("answers are dropped before their time, ids never") {
  ManualClock clock;
  RequestIdMemory memory(100, 500);
  for (std::uint64_t i = 0; i < 20; ++i) {
    memory.Add(MakeRequest(i), clock.Now());
    memory.Finish(MakeRequest(i),
                  std::make_shared<const StoredAnswer>(
                      StoredAnswer{200, "text/plain", "answer"}),
                  clock.Now());
  }
  CHECK(memory.answer_bytes() <= 500);
  CHECK(memory.StatusOf(kSlot, {0, 0}) == RequestIdMemory::Status::kFinished);
  CHECK(memory.AnswerOf(kSlot, {0, 0}) == nullptr);
  CHECK(memory.AnswerOf(kSlot, {19, 19}) != nullptr);
}

TEST_CASE("an id is forgotten after its horizon, but not while it runs") {
  ManualClock clock;
  RequestIdMemory memory(100, 500);
  memory.Add(MakeRequest(1), clock.Now());
  memory.Finish(MakeRequest(1), nullptr, clock.Now());
  memory.Add(MakeRequest(2), clock.Now());
  memory.SetRunning(kSlot, {2, 2});
  clock.Advance(seconds(61));
  memory.ForgetExpired(clock.Now());
  CHECK(memory.StatusOf(kSlot, {1, 1}) == RequestIdMemory::Status::kUnknown);
  CHECK(memory.StatusOf(kSlot, {2, 2}) == RequestIdMemory::Status::kRunning);
}

TEST_CASE("a full witness keeps nothing of a request, and says so") {
  ManualClock clock;
  CoordinatorSettings settings;
  settings.max_witnessed_ids = 2;
  WitnessedIds witnessed(settings);
  RegisterIdsRequest request{1, kService, {MakeId(1), MakeId(2)}, {}};
  CHECK(witnessed.Store(kOwner, request, clock.Now()));
  request.ids = {MakeId(3)};
  CHECK_FALSE(witnessed.Store(kOwner, request, clock.Now()));
  clock.Advance(seconds(61));
  witnessed.ForgetExpired(clock.Now());
  CHECK(witnessed.Store(kOwner, request, clock.Now()));
}

// A successor collects in chunks while ids expire. Had one been erased between
// two chunks, the later ones would move up and one would be skipped.
TEST_CASE("a gone owner's ids stay in place while they are collected") {
  ManualClock clock;
  CoordinatorSettings settings;
  settings.ids_per_message = 1;
  WitnessedIds witnessed(settings);
  RegisteredId old = MakeId(1);
  old.age = seconds(59);
  witnessed.Store(kOwner, {1, kService, {old, MakeId(2), MakeId(3)}, {}},
                  clock.Now());
  witnessed.NoteGone(kOwner, clock.Now());
  CHECK(witnessed.Collect(kOwner, 0, clock.Now()).ids[0].id.low == 1);
  clock.Advance(seconds(2));
  witnessed.ForgetExpired(clock.Now());
  CHECK(witnessed.Collect(kOwner, 1, clock.Now()).ids[0].id.low == 2);
  const CollectIdsReply last = witnessed.Collect(kOwner, 2, clock.Now());
  CHECK(last.ids[0].id.low == 3);
  CHECK(last.is_last);
}

TEST_CASE("an id is safe once a majority has it, however late the others") {
  ManualClock clock;
  IdRegistrar registrar(CoordinatorSettings(), kService,
                        [] { return IdRegistrar::Contents(); });
  const WitnessSet set = MakeSet(9, 0, 3);
  registrar.SetWitnessSets(set, std::nullopt);
  registrar.DueMessages(clock.Now());
  const IdRegistrar::Position position = registrar.Add(MakeId(1), clock.Now());
  const auto messages = registrar.DueMessages(clock.Now());
  REQUIRE(messages.size() == 3);
  registrar.OnReply(messages[0].witness, {messages[0].request.sequence, true},
                    clock.Now());
  CHECK(registrar.SafePosition(set) < position);
  registrar.OnReply(messages[2].witness, {messages[2].request.sequence, true},
                    clock.Now());
  CHECK(registrar.SafePosition(set) >= position);
}

// A witness set changes. Until the new witnesses have the ids of all that ran,
// nothing may count on them: a successor would ask them and learn too little.
TEST_CASE("a new witness counts only once it has the whole copy") {
  ManualClock clock;
  CoordinatorSettings settings;
  settings.ids_per_message = 1;
  IdRegistrar registrar(settings, kService, [] {
    return IdRegistrar::Contents{{MakeId(1)}, {{kSlot, Epoch(4)}}};
  });
  const WitnessSet set = MakeSet(9, 0, 1);
  registrar.SetWitnessSets(set, std::nullopt);
  for (int i = 0; i < 2; ++i) {
    const auto messages = registrar.DueMessages(clock.Now());
    REQUIRE(messages.size() == 1);
    CHECK_FALSE(registrar.IsCopied(set));
    // The marker comes after the ids that it speaks for.
    CHECK(messages[0].request.markers.size() == static_cast<std::size_t>(i));
    registrar.OnReply(messages[0].witness, {messages[0].request.sequence, true},
                      clock.Now());
  }
  CHECK(registrar.IsCopied(set));
}

}  // namespace citrongrade
