#include "modules/transport/mesh/config_follower.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "modules/coordination/steady_clock.h"
#include "modules/transport/mesh/config_decoder.h"
#include "modules/transport/mesh/mesh_store.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// A document is its version, as text.
class NumberDecoder final : public ConfigDecoder {
 public:
  RoutingConfig Decode(const std::string& document) const override {
    RoutingConfig config;
    config.version = std::stoull(document);
    return config;
  }
};

// Gives what a test has put down, one after the other, then nothing.
class ScriptedStore final : public MeshStore {
 public:
  enum class Event { kDocument, kUnanswered, kHistoryGone, kUnreadable };
  struct Step {
    Event event;
    std::string document;
    std::uint64_t next = 0;
  };

  explicit ScriptedStore(boost::asio::io_context& loop) : m_loop(loop) {}

  Task<StoredRecord> ReadRecord() override { co_return StoredRecord(); }
  Task<std::uint64_t> WriteRecord(std::string /*bytes*/,
                                  std::uint64_t end) override {
    co_return end;
  }
  Task<ConfigDocument> ReadConfig() override {
    asked.emplace_back(std::nullopt);
    co_return co_await Play(0);
  }
  Task<ConfigDocument> AwaitConfig(std::uint64_t next,
                                   milliseconds /*wait*/) override {
    asked.emplace_back(next);
    co_return co_await Play(next);
  }

  std::deque<Step> steps;
  // From where each call read; nothing: the newest, anew.
  std::vector<std::optional<std::uint64_t>> asked;

 private:
  Task<ConfigDocument> Play(std::uint64_t next) {
    if (steps.empty()) {
      m_loop.stop();
      boost::asio::steady_timer timer(m_loop, milliseconds(1));
      co_await timer.async_wait(boost::asio::use_awaitable);
      co_return ConfigDocument{std::nullopt, next};
    }
    const Step step = steps.front();
    steps.pop_front();
    if (step.event == Event::kUnanswered)
      throw StoreOutcomeUnknownError("no answer");
    if (step.event == Event::kHistoryGone)
      throw StoreHistoryTrimmedError("trimmed");
    if (step.event == Event::kUnreadable)
      throw StoreMalformedAnswerError("no record");
    co_return ConfigDocument{step.document, step.next};
  }

  boost::asio::io_context& m_loop;
};

class FollowerFixture : public ConfigFollower::Listener {
 public:
  void OnConfig(const RoutingConfig& config) override {
    in_force.push_back(config.version);
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
};

// Has version 4, and does not read the store.
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

// The least that any of the users' pages gives a confirmed configuration.
constexpr milliseconds kShortestConfigApply{2000};

using Event = ScriptedStore::Event;
using Asked = std::vector<std::optional<std::uint64_t>>;

}  // namespace

// Guards against a whole document that is read again after each failed call.
TEST_CASE_FIXTURE(FollowerFixture, "a failed call goes on from its position") {
  Play({{Event::kDocument, "4", 7}, {Event::kUnanswered, "", 0}});
  CHECK(store.asked == Asked{std::nullopt, 7, 7});
}

TEST_CASE_FIXTURE(FollowerFixture, "a trimmed history is read anew") {
  Play({{Event::kDocument, "4", 7},
        {Event::kHistoryGone, "", 0},
        {Event::kDocument, "9", 12}});
  CHECK(store.asked == Asked{std::nullopt, 7, std::nullopt, 12});
  CHECK(in_force == std::vector<std::uint64_t>{4, 9});
}

// Guards against bytes that can't be read and are asked for again for ever.
TEST_CASE_FIXTURE(FollowerFixture,
                  "what can't be read is not asked for again") {
  Play({{Event::kDocument, "4", 7}, {Event::kUnreadable, "", 0}});
  CHECK(store.asked == Asked{std::nullopt, 7, std::nullopt});
}

TEST_CASE_FIXTURE(FollowerFixture, "an older document changes nothing") {
  Play({{Event::kDocument, "9", 7}, {Event::kDocument, "4", 8}});
  CHECK(in_force == std::vector<std::uint64_t>{9});
}

// Guards against a node that reads from the store what another has brought it.
TEST_CASE_FIXTURE(FollowerFixture, "a change brings its place in the store") {
  ConfigChange change;
  change.to_version = 5;
  change.store_next = 31;
  CHECK(follower.ApplyChange(change));
  Play({});
  CHECK(store.asked == Asked{31});
}

// Guards against a configuration that is mixed of two versions.
TEST_CASE_FIXTURE(FollowerFixture, "a change from another version is refused") {
  ConfigChange change;
  change.from_version = 3;
  change.to_version = 5;
  CHECK_FALSE(follower.ApplyChange(change));
  CHECK(follower.version() == 0);
}

// Guards against 404 for a route that the next version has.
TEST_CASE_FIXTURE(FollowerFixture,
                  "a node that knows of a newer version may be behind") {
  Play({{Event::kDocument, "4", 7}});
  CHECK_FALSE(follower.MayBeStale());
  follower.OnVersionReported(5, milliseconds(0));
  CHECK(follower.MayBeStale());
  ConfigChange change;
  change.to_version = 5;
  follower.ApplyChange(change);
  CHECK_FALSE(follower.MayBeStale());
}

// Guards against a leader without the store whose replies make all others sure.
TEST_CASE_FIXTURE(ManualFollowerFixture,
                  "hearing from who knows nothing lately proves nothing") {
  follower.OnVersionReported(4, kShortestConfigApply);
  CHECK(follower.MayBeStale());
}

// Guards against 404 for a route that was confirmed just after this node last
// heard of a version: the shortest time that users allow has passed since.
TEST_CASE_FIXTURE(
    ManualFollowerFixture,
    "what was heard too long ago is no proof that a route is missing") {
  follower.OnVersionReported(4, milliseconds(0));
  REQUIRE_FALSE(follower.MayBeStale());
  clock.Advance(kShortestConfigApply);
  CHECK(follower.MayBeStale());
}

}  // namespace citrongrade
