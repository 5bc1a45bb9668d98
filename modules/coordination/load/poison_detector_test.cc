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
  there.MergePeerReports(here.TakeReports());
  CHECK_FALSE(there.IsQuarantined(popular));
}

TEST_CASE("crashes seen by different nodes add up, each once") {
  ManualClock clock;
  PoisonDetector here(clock, PoisonDetector::Parameters{});
  PoisonDetector there(clock, PoisonDetector::Parameters{});
  here.OnCrash(Fingerprints{kPoison});
  here.OnCrash(Fingerprints{kPoison});
  there.MergePeerReports(here.TakeReports());
  there.MergePeerReports(here.TakeReports());
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
  CHECK(detector.TakeReports().size() <= 10);
}

}  // namespace citrongrade
