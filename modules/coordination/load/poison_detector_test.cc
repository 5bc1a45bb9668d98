#include "modules/coordination/load/poison_detector.h"

#include <doctest/doctest.h>

#include <vector>

#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

using Fingerprints = std::vector<RequestFingerprint>;

constexpr RequestFingerprint kPoison(666);

}  // namespace

// A request crashes each target that runs it and is resent each time. It must
// be stopped after three targets. A request that ran beside it ends elsewhere
// in between and must not be quarantined.
TEST_CASE("three crashes quarantine a request, not others that ran beside it") {
  ManualClock clock;
  PoisonDetector detector(clock, PoisonDetector::Parameters{});
  const RequestFingerprint innocent(1);
  for (int crash = 0; crash < 3; ++crash) {
    CHECK_FALSE(detector.IsQuarantined(kPoison));
    detector.OnCrash(Fingerprints{innocent, kPoison});
    detector.OnFinished(innocent);
  }
  CHECK(detector.IsQuarantined(kPoison));
  CHECK_FALSE(detector.IsQuarantined(innocent));
  detector.OnFinished(kPoison);
  CHECK(detector.IsQuarantined(kPoison));
  clock.Advance(std::chrono::seconds(601));
  CHECK_FALSE(detector.IsQuarantined(kPoison));
}

// Many callers send the same request, and several runs of it are active when a
// target crashes. When each run was counted, all these callers were refused for
// ten minutes after that one crash.
TEST_CASE("a crash counts once for a request that ran several times") {
  ManualClock clock;
  PoisonDetector here(clock, PoisonDetector::Parameters{});
  PoisonDetector there(clock, PoisonDetector::Parameters{});
  const RequestFingerprint popular(1);
  here.OnCrash(Fingerprints{popular, kPoison, popular, popular});
  CHECK_FALSE(here.IsQuarantined(popular));
  there.Merge(here.UnreportedChanges(0));
  CHECK_FALSE(there.IsQuarantined(popular));
}

TEST_CASE("crashes seen by different nodes add up, each once") {
  ManualClock clock;
  PoisonDetector here(clock, PoisonDetector::Parameters{});
  PoisonDetector there(clock, PoisonDetector::Parameters{});
  here.OnCrash(Fingerprints{kPoison});
  here.OnCrash(Fingerprints{kPoison});
  there.Merge(here.UnreportedChanges(0));
  there.Merge(here.UnreportedChanges(0));
  CHECK_FALSE(there.IsQuarantined(kPoison));
  there.OnCrash(Fingerprints{kPoison});
  CHECK(there.IsQuarantined(kPoison));
}

// Many crashes name thousands of suspects. Memory must stay bounded, and a
// quarantined request must not be evicted for requests that are merely
// suspected.
TEST_CASE("memory is bounded and keeps quarantined requests") {
  ManualClock clock;
  PoisonDetector::Parameters parameters;
  parameters.max_suspects = 10;
  PoisonDetector detector(clock, parameters);
  for (int crash = 0; crash < 3; ++crash) {
    detector.OnCrash(Fingerprints{kPoison});
  }
  for (std::uint64_t suspect = 0; suspect < 1000; ++suspect) {
    clock.Advance(std::chrono::milliseconds(1));
    detector.OnCrash(Fingerprints{RequestFingerprint(suspect)});
  }
  CHECK(detector.suspect_count() == 10);
  CHECK(detector.IsQuarantined(kPoison));
  CHECK(detector.UnreportedChanges(0).size() <= 10);
}

// Guards against a poisoned request whose count starts from zero because many
// innocent ones, beside a single crash each, fill the memory.
TEST_CASE("the suspect with the fewest crashes is evicted first") {
  ManualClock clock;
  PoisonDetector::Parameters parameters;
  parameters.max_suspects = 10;
  PoisonDetector detector(clock, parameters);
  detector.OnCrash(Fingerprints{kPoison});
  detector.OnCrash(Fingerprints{kPoison});
  for (std::uint64_t suspect = 1000; suspect < 2000; ++suspect) {
    clock.Advance(std::chrono::milliseconds(1));
    detector.OnCrash(Fingerprints{RequestFingerprint(suspect)});
  }
  CHECK(detector.CrashCount(kPoison) == 2);
  CHECK(detector.evicted_count() == 991);
}

// Guards against a crash that counts twice at the node that saw it, as the
// leader sends it back: a request beside two crashes was quarantined.
TEST_CASE("a crash that comes back from a peer counts once") {
  ManualClock clock;
  PoisonDetector here(clock, PoisonDetector::Parameters{});
  PoisonDetector there(clock, PoisonDetector::Parameters{});
  here.OnCrash(Fingerprints{kPoison});
  here.OnCrash(Fingerprints{kPoison});
  there.Merge(here.UnreportedChanges(0));
  here.Merge(there.Suspects());
  CHECK(here.CrashCount(kPoison) == 2);
  CHECK_FALSE(here.IsQuarantined(kPoison));
}

// Guards against a popular request that is quarantined because it ended at
// another node than the one that saw the crashes beside it.
TEST_CASE("an end without a crash clears the request at all nodes") {
  ManualClock clock;
  PoisonDetector here(clock, PoisonDetector::Parameters{});
  PoisonDetector there(clock, PoisonDetector::Parameters{});
  const RequestFingerprint popular(1);
  here.OnCrash(Fingerprints{popular});
  here.OnCrash(Fingerprints{popular});
  const std::vector<CrashSuspect> before = here.Suspects();
  there.Merge(before);
  there.OnFinished(popular);
  here.Merge(there.UnreportedChanges(0));
  // A late copy does not bring the crashes back.
  here.Merge(before);
  here.OnCrash(Fingerprints{popular});
  CHECK(here.CrashCount(popular) == 1);
}

TEST_CASE("what concerns one node alone is not shared") {
  ManualClock clock;
  PoisonDetector detector(clock, PoisonDetector::Parameters{});
  detector.OnCrash(Fingerprints{RequestFingerprint(1), kPoison});
  CHECK(detector.SharedChanges(0).empty());
  const std::uint64_t version = detector.version();
  detector.OnCrash(Fingerprints{kPoison});
  REQUIRE(detector.SharedChanges(version).size() == 1);
  CHECK(detector.SharedChanges(version).front().fingerprint == kPoison.value());
  CHECK(detector.SharedChanges(detector.version()).empty());
}

// A caller resends a poisoned request for hours. When each quarantine began
// with a count of zero, it cost three targets every ten minutes.
TEST_CASE("each crash after a quarantine quarantines for longer") {
  ManualClock clock;
  PoisonDetector detector(clock, PoisonDetector::Parameters{});
  for (int crash = 0; crash < 3; ++crash)
    detector.OnCrash(Fingerprints{kPoison});
  clock.Advance(std::chrono::seconds(601));
  REQUIRE_FALSE(detector.IsQuarantined(kPoison));
  detector.OnCrash(Fingerprints{kPoison});
  CHECK(detector.IsQuarantined(kPoison));
  clock.Advance(std::chrono::seconds(4 * 600 - 1));
  CHECK(detector.IsQuarantined(kPoison));
  clock.Advance(std::chrono::seconds(2));
  CHECK_FALSE(detector.IsQuarantined(kPoison));
}

// Guards against a popular request that is refused to all callers for ten
// minutes because a zone was lost: it ran on many targets that crashed at once.
TEST_CASE("targets lost at once do not quarantine what ran well on them") {
  ManualClock clock;
  PoisonDetector leader(clock, PoisonDetector::Parameters{});
  const RequestFingerprint popular(1);
  for (int node = 0; node < 5; ++node) {
    PoisonDetector detector(clock, PoisonDetector::Parameters{});
    detector.OnFinished(popular);
    detector.OnCrash(Fingerprints{popular});
    leader.Merge(detector.UnreportedChanges(0));
  }
  CHECK_FALSE(leader.IsQuarantined(popular));
}

// Guards against a request that once ran well and may crash targets ever after.
TEST_CASE("a recent end excuses one crash") {
  ManualClock clock;
  PoisonDetector detector(clock, PoisonDetector::Parameters{});
  detector.OnFinished(kPoison);
  for (int crash = 0; crash < 4; ++crash)
    detector.OnCrash(Fingerprints{kPoison});
  CHECK(detector.IsQuarantined(kPoison));
  const RequestFingerprint other(1);
  detector.OnFinished(other);
  clock.Advance(std::chrono::seconds(11));
  detector.OnCrash(Fingerprints{other});
  CHECK(detector.CrashCount(other) == 1);
}

}  // namespace citrongrade
