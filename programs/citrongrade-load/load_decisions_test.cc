#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "modules/coordination/manual_clock.h"
#include "programs/citrongrade-load/answer_checker.h"
#include "programs/citrongrade-load/attempt_result.h"
#include "programs/citrongrade-load/call_plan.h"
#include "programs/citrongrade-load/call_record.h"
#include "programs/citrongrade-load/due_queue.h"
#include "programs/citrongrade-load/load_settings.h"
#include "programs/citrongrade-load/percentiles.h"
#include "programs/citrongrade-load/promise_checker.h"
#include "programs/citrongrade-load/resend_policy.h"
#include "programs/citrongrade-load/run_ledger.h"
#include "programs/citrongrade-load/unavailability_tracker.h"
#include "programs/citrongrade-load/zipf_distribution.h"
#include "programs/citrongrade-target-standin/run_report.h"

namespace citrongrade {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

CallRecord ProtectedCall(const std::string& id, AttemptOutcome outcome) {
  CallRecord record;
  record.call.kind = CallKind::kProtected;
  record.call.id = id;
  record.attempts = 1;
  record.last_outcome = outcome;
  record.every_attempt_not_run = outcome == AttemptOutcome::kNotRun;
  return record;
}

RunReport Run(const std::string& target,
              std::uint64_t number,
              const std::string& id) {
  return {target, "process", number, id, id, "key"};
}

std::vector<BrokenPromise::Kind> Kinds(const CallRecord& record,
                                       const RunLedger& ledger,
                                       bool is_whole = true) {
  std::vector<BrokenPromise::Kind> kinds;
  for (const auto& broken : CheckPromises({&record, 1}, ledger, is_whole))
    kinds.push_back(broken.kind);
  return kinds;
}

}  // namespace

TEST_CASE("the same seed plans the same calls, at the rate asked for") {
  LoadSettings settings;
  settings.calls_per_second = 1000;
  settings.burst_every = milliseconds(1000);
  settings.burst = milliseconds(500);
  settings.burst_factor = 3;
  CallPlan one(settings);
  CallPlan other(settings);
  std::size_t calm = 0;
  std::size_t burst = 0;
  while (const auto call = one.Next()) {
    REQUIRE(other.Next() == call);
    const bool in_burst = call->due.count() % 1000000 >= 500000;
    ++(in_burst ? burst : calm);
  }
  CHECK(calm == doctest::Approx(5000).epsilon(0.06));
  CHECK(burst == doctest::Approx(15000).epsilon(0.06));
}

TEST_CASE("skew gives the first key its share") {
  std::mt19937_64 random(1);
  const ZipfDistribution skewed(3, 1);
  std::vector<int> drawn(3);
  for (int i = 0; i < 11000; ++i)
    ++drawn[skewed.Draw(random)];
  CHECK(drawn[0] == doctest::Approx(6000).epsilon(0.06));
  CHECK(drawn[2] == doctest::Approx(2000).epsilon(0.06));
}

TEST_CASE(
    "runs of a restarted target are not taken for its earlier process's") {
  // The target counts from 1 again. Taken for reports that came twice, its runs
  // would be dropped: a double run would not show, and done calls would seem
  // not to have run.
  RunLedger ledger;
  RunReport run = Run("a", 1, "call");
  ledger.Note(run);
  run.process = "another process";
  ledger.Note(run);
  const auto done = ProtectedCall("call", AttemptOutcome::kDone);
  CHECK(Kinds(done, ledger) == std::vector{BrokenPromise::Kind::kDoubleRun});
}

TEST_CASE("a protected call that ran twice, on two targets, shows") {
  RunLedger ledger;
  ledger.Note(Run("a", 1, "call"));
  const auto done = ProtectedCall("call", AttemptOutcome::kDone);
  CHECK(Kinds(done, ledger).empty());
  ledger.Note(Run("a", 1, "call"));
  CHECK(Kinds(done, ledger).empty());
  ledger.Note(Run("b", 1, "call"));
  CHECK(Kinds(done, ledger) == std::vector{BrokenPromise::Kind::kDoubleRun});
  CHECK(ledger.key_moves() == 1);
}

TEST_CASE("not-run that ran, and done that did not") {
  RunLedger ledger;
  const auto refused = ProtectedCall("call", AttemptOutcome::kNotRun);
  const auto done = ProtectedCall("call", AttemptOutcome::kDone);
  CHECK(Kinds(refused, ledger).empty());
  CHECK(Kinds(done, ledger) ==
        std::vector{BrokenPromise::Kind::kDoneWithoutRun});
  CHECK(Kinds(done, ledger, false).empty());
  ledger.Note(Run("a", 1, "call"));
  CHECK(Kinds(refused, ledger) == std::vector{BrokenPromise::Kind::kNotRunRan});
  CHECK(Kinds(ProtectedCall("call", AttemptOutcome::kUnknown), ledger).empty());
}

TEST_CASE("an answer is whole and its own, or its fault is named") {
  const std::string whole = DeterministicBytes("key", "call").Take(1000);
  const auto fault_of = [](const std::string& answer) {
    AnswerChecker checker("key", "call", 1000, "");
    checker.Add(answer.substr(0, 10));
    checker.Add(answer.substr(10));
    return checker.Fault();
  };
  CHECK_FALSE(fault_of(whole).has_value());
  CHECK(fault_of(whole.substr(0, 999)) == "truncated answer");
  CHECK(fault_of(whole + "x") == "another call's answer");
  CHECK(fault_of(DeterministicBytes("key", "other").Take(1000)) ==
        "another call's answer");
  AnswerChecker json("key", "call", std::nullopt, "00");
  json.Add(R"({"key":"key","call_id":"call","body_hash":"01"})");
  CHECK(json.Fault() == "another body was run");
}

TEST_CASE("callers wait as long as they are asked to, and give up in the end") {
  LoadSettings settings;
  std::mt19937_64 random(1);
  CallRecord record = ProtectedCall("call", AttemptOutcome::kNotRun);
  const AttemptResult busy{AttemptOutcome::kNotRun, "overloaded",
                           milliseconds(1500)};
  CHECK(ResendDelay(settings, record, busy, random) >= milliseconds(1500));
  const AttemptResult done{AttemptOutcome::kDone, "", milliseconds(0)};
  CHECK_FALSE(ResendDelay(settings, record, done, random).has_value());
  record.attempts = settings.max_attempts;
  CHECK_FALSE(ResendDelay(settings, record, busy, random).has_value());
}

TEST_CASE("a key's gap lasts from its first failure to its next success") {
  ManualClock clock;
  UnavailabilityTracker tracker;
  tracker.Note("key", clock.Now(), true);
  tracker.Note("key", clock.Now(), false);
  clock.Advance(milliseconds(30));
  tracker.Note("key", clock.Now(), false);
  clock.Advance(milliseconds(20));
  tracker.Note("key", clock.Now(), true);
  CHECK(tracker.LongestGaps(clock.Now()) ==
        std::vector<microseconds>{milliseconds(50)});
  CHECK(tracker.open_gaps() == 0);
  tracker.Note("other", clock.Now(), false);
  CHECK(tracker.open_gaps() == 1);
}

TEST_CASE("percentiles are values that were measured") {
  std::vector<microseconds> values;
  values.reserve(100);
  for (int i = 1; i <= 100; ++i)
    values.emplace_back(i);
  const Percentiles percentiles = Percentiles::Of(values);
  CHECK(percentiles.p50 == microseconds(50));
  CHECK(percentiles.p99 == microseconds(99));
  CHECK(percentiles.max == microseconds(100));
  CHECK(Percentiles::Of({}).count == 0);
}

TEST_CASE("many threads take each item once, also those that come back") {
  DueQueue<int> queue(10);
  std::atomic<int> taken = 0;
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&] {
      while (const auto item = queue.Take()) {
        ++taken;
        if (*item % 2 == 0)
          queue.PushAgain(std::chrono::steady_clock::now(), *item + 1);
        else
          queue.Finish();
      }
    });
  }
  for (int i = 0; i < 1000; ++i)
    queue.Push(std::chrono::steady_clock::now() + microseconds(i * 10), i);
  queue.Close();
  for (std::thread& thread : threads)
    thread.join();
  CHECK(taken == 1500);
}

}  // namespace citrongrade
