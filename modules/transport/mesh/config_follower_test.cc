#include "modules/transport/mesh/config_follower.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/steady_clock.h"
#include "modules/transport/mesh/config_decoder.h"
#include "modules/transport/mesh/mesh_store.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// Decodes a document that consists of its version number as text.
class NumberDecoder final : public ConfigDecoder {
 public:
  RoutingConfig Decode(const std::string& document) const override {
    RoutingConfig config;
    config.version = std::stoull(document);
    return config;
  }
};

// Plays the steps of a test one after the other, then returns no more
// documents.
class ScriptedStore final : public MeshStore {
 public:
  enum class Event {
    kDocument,
    kEvacuations,
    kUnanswered,
    kHistoryGone,
    kUnreadable
  };
  struct Step {
    Event event;
    std::string document;
    std::uint64_t next = 0;
    std::vector<ZoneEvacuations::Change> evacuations = {};
  };

  explicit ScriptedStore(boost::asio::io_context& loop) : m_loop(loop) {}

  Task<StoredRecord> ReadRecord() override { co_return StoredRecord(); }
  Task<std::uint64_t> WriteRecord(std::string /*bytes*/,
                                  std::uint64_t end) override {
    co_return end;
  }
  Task<Publications> ReadAll() override {
    asked.emplace_back(std::nullopt);
    co_return co_await Play(0);
  }
  Task<Publications> AwaitNext(std::uint64_t next,
                               milliseconds /*wait*/) override {
    asked.emplace_back(next);
    co_return co_await Play(next);
  }

  std::deque<Step> steps;
  // Start position of each call; nothing: the whole newest document.
  std::vector<std::optional<std::uint64_t>> asked;

 private:
  Task<Publications> Play(std::uint64_t next) {
    if (steps.empty()) {
      m_loop.stop();
      boost::asio::steady_timer timer(m_loop, milliseconds(1));
      co_await timer.async_wait(boost::asio::use_awaitable);
      co_return Publications{std::nullopt, {}, next};
    }
    const Step step = steps.front();
    steps.pop_front();
    if (step.event == Event::kUnanswered)
      throw StoreOutcomeUnknownError("no answer");
    if (step.event == Event::kHistoryGone)
      throw StoreHistoryTrimmedError("trimmed");
    if (step.event == Event::kUnreadable)
      throw StoreMalformedAnswerError("no record");
    Publications publications{std::nullopt, step.evacuations, step.next};
    if (step.event == Event::kDocument)
      publications.config = step.document;
    co_return publications;
  }

  boost::asio::io_context& m_loop;
};

class FollowerFixture : public ConfigFollower::Listener {
 public:
  void OnConfig(const RoutingConfig& config) override {
    in_force.push_back(config.version);
  }
  void OnEvacuations(const ZoneEvacuations& evacuations) override {
    evacuated.push_back(evacuations.zones);
  }

  void Play(std::deque<ScriptedStore::Step> steps) {
    store.steps = std::move(steps);
    follower.Start([] { return true; });
    loop.run();
  }

  boost::asio::io_context loop;
  SteadyClock clock;
  ScriptedStore store{loop};
  NumberDecoder decoder;
  ConfigFollower follower{loop, clock, store, decoder, *this};
  std::vector<std::uint64_t> in_force;
  std::vector<std::set<std::string>> evacuated;
};

// Has version 4 and does not read the store.
struct ManualFollowerFixture {
  ManualFollowerFixture() {
    ConfigChange change;
    change.to_version = 4;
    follower.ApplyChange(change);
  }

  boost::asio::io_context loop;
  ManualClock clock;
  ScriptedStore store{loop};
  NumberDecoder decoder;
  FollowerFixture listener;
  ConfigFollower follower{loop, clock, store, decoder, listener};
};

// The shortest time that any user document allows for applying a confirmed
// configuration.
constexpr milliseconds kShortestConfigApply{2000};

using Event = ScriptedStore::Event;
using Zones = std::vector<std::set<std::string>>;
using Asked = std::vector<std::optional<std::uint64_t>>;

}  // namespace

// Guards against reading the whole document again after each failed call.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a failed call is repeated from its position") {
  Play({{Event::kDocument, "4", 7}, {Event::kUnanswered, "", 0}});
  CHECK(store.asked == Asked{std::nullopt, 7, 7});
}

TEST_CASE_FIXTURE(
    FollowerFixture,
    "the whole document is read again once the history is trimmed") {
  Play({{Event::kDocument, "4", 7},
        {Event::kHistoryGone, "", 0},
        {Event::kDocument, "9", 12}});
  CHECK(store.asked == Asked{std::nullopt, 7, std::nullopt, 12});
  CHECK(in_force == std::vector<std::uint64_t>{4, 9});
}

TEST_CASE_FIXTURE(FollowerFixture, "evacuations begin and end as published") {
  Play({{Event::kDocument, "4", 7},
        {Event::kEvacuations, "", 8, {{"derby", true, 8}}},
        {Event::kEvacuations, "", 9, {{"suape", true, 9}}},
        {Event::kEvacuations, "", 10, {{"derby", false, 10}}}});
  CHECK(evacuated == Zones{{"derby"}, {"derby", "suape"}, {"suape"}});
}

// Guards against a zone that stays out of service because the order to end its
// evacuation was trimmed from the history.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a zone that is missing from all records is not evacuated") {
  Play({{Event::kEvacuations, "", 8, {{"derby", true, 8}}},
        {Event::kHistoryGone, "", 0},
        {Event::kDocument, "4", 12}});
  CHECK(evacuated == Zones{{"derby"}, {}});
}

// Guards against an evacuated zone that gets requests again because a node that
// was cut off spreads what it knew before.
TEST_CASE_FIXTURE(FollowerFixture,
                  "older evacuations of other nodes change nothing") {
  Play({{Event::kEvacuations, "", 8, {{"derby", true, 8}}}});
  follower.MergeEvacuations({7, {}});
  CHECK(follower.evacuations().Contains("derby"));
  follower.MergeEvacuations({9, {}});
  CHECK_FALSE(follower.evacuations().Contains("derby"));
}

// Guards against a store reader that starts behind an order which it has never
// seen.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a change carries the evacuations before its position") {
  ConfigChange change;
  change.to_version = 5;
  change.store_next = 31;
  change.evacuations = {30, {"derby"}};
  follower.ApplyChange(change);
  CHECK(follower.evacuations().Contains("derby"));
  CHECK(follower.ChangeFrom(0).evacuations == change.evacuations);
}

// Guards against requesting an unreadable document from the same position
// forever.
TEST_CASE_FIXTURE(FollowerFixture,
                  "an unreadable document is not requested again") {
  Play({{Event::kDocument, "4", 7}, {Event::kUnreadable, "", 0}});
  CHECK(store.asked == Asked{std::nullopt, 7, std::nullopt});
}

TEST_CASE_FIXTURE(FollowerFixture, "an older document changes nothing") {
  Play({{Event::kDocument, "9", 7}, {Event::kDocument, "4", 8}});
  CHECK(in_force == std::vector<std::uint64_t>{9});
}

// Guards against reading a version from the store that another node has already
// delivered.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a change carries its position in the store") {
  ConfigChange change;
  change.to_version = 5;
  change.store_next = 31;
  CHECK(follower.ApplyChange(change));
  Play({});
  CHECK(store.asked == Asked{31});
}

// Guards against a configuration mixed from two versions.
TEST_CASE_FIXTURE(FollowerFixture, "a change from another version is refused") {
  ConfigChange change;
  change.from_version = 3;
  change.to_version = 5;
  CHECK_FALSE(follower.ApplyChange(change));
  CHECK(follower.version() == 0);
}

// Guards against a 404 response for a route that exists in the next version.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a node that knows of a newer version may be outdated") {
  Play({{Event::kDocument, "4", 7}});
  CHECK_FALSE(follower.MayBeStale());
  follower.OnVersionReported(5, milliseconds(0));
  CHECK(follower.MayBeStale());
  ConfigChange change;
  change.to_version = 5;
  follower.ApplyChange(change);
  CHECK_FALSE(follower.MayBeStale());
}

// Guards against a leader without access to the store whose replies make the
// other nodes consider their version the newest.
TEST_CASE_FIXTURE(
    ManualFollowerFixture,
    "a report based on old knowledge does not show that none is newer") {
  follower.OnVersionReported(4, kShortestConfigApply);
  CHECK(follower.MayBeStale());
}

// Guards against a 404 response for a route that was confirmed just after this
// node last heard of a version, with the shortest time that users allow since.
TEST_CASE_FIXTURE(
    ManualFollowerFixture,
    "a report that is too old does not show that a route is missing") {
  follower.OnVersionReported(4, milliseconds(0));
  REQUIRE_FALSE(follower.MayBeStale());
  clock.Advance(kShortestConfigApply);
  CHECK(follower.MayBeStale());
}

}  // namespace citrongrade
