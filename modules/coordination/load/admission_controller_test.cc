#include "modules/coordination/load/admission_controller.h"

#include <doctest/doctest.h>

#include <vector>

#include "modules/coordination/load/load_errors.h"
#include "modules/coordination/manual_clock.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;
using Verdict = AdmissionDecision::Verdict;

// A controller for a target that runs four requests at once, with helpers to
// offer and finish requests.
class Fixture {
 public:
  Fixture() : Fixture(Declared()) {}
  explicit Fixture(const AdmissionController::Parameters& parameters)
      : m_admission(m_clock, m_random, parameters) {}

  static AdmissionController::Parameters Declared() {
    AdmissionController::Parameters parameters;
    parameters.declared_concurrency = 4;
    parameters.connections = 40;
    parameters.starts_cold = false;
    return parameters;
  }

  AdmissionDecision Offer(milliseconds time_left,
                          WorkClass work_class = WorkClass::kShort) {
    RequestMetadata request;
    request.ticket = RequestTicket(++m_last_ticket);
    request.caller = CallerHash(m_last_ticket);
    request.key = KeyHash(m_last_ticket);
    request.work_class = work_class;
    request.deadline = m_clock.Now() + time_left;
    return m_admission.Offer(request);
  }

  // Offers and finishes one run of `latency`, so that the run time is known.
  void Measure(milliseconds latency) {
    REQUIRE(Offer(milliseconds(60'000)).verdict == Verdict::kAdmitted);
    m_clock.Advance(latency);
    Finish(m_last_ticket, latency);
  }

  void Finish(std::uint64_t ticket, milliseconds latency) {
    m_admission.OnFinished(RequestTicket(ticket), TargetCallOutcome::kDone,
                           latency);
  }

  void FillTarget() {
    for (int run = 0; run < 4; ++run) {
      REQUIRE(Offer(milliseconds(60'000)).verdict == Verdict::kAdmitted);
    }
  }

  ManualClock& clock() { return m_clock; }
  AdmissionController& admission() { return m_admission; }
  std::uint64_t last_ticket() const { return m_last_ticket; }

 private:
  ManualClock m_clock;
  std::mt19937_64 m_random{1};
  AdmissionController m_admission;
  std::uint64_t m_last_ticket = 0;
};

}  // namespace

// The target is fully used and the queue is longer than the caller's deadline
// allows. If the refusal came only at the deadline, the caller would have no
// time left to retry elsewhere.
TEST_CASE("a request that can't finish in time is refused at once") {
  Fixture fixture;
  fixture.Measure(milliseconds(100));
  fixture.FillTarget();
  for (int i = 0; i < 20; ++i) {
    fixture.Offer(milliseconds(60'000));
  }
  const AdmissionDecision decision = fixture.Offer(milliseconds(300));
  CHECK(decision.verdict == Verdict::kRefused);
  CHECK(decision.refusal->reason == RefusalReason::kDeadlineTooClose);
  CHECK(decision.refusal->retry_after >= milliseconds(100));
}

// The target freezes while a request with two seconds left is queued. Nothing
// finishes, so run times still look normal. The request must be refused once
// the freeze has lasted for half of that time, and never reach the target.
TEST_CASE("a freeze refuses queued requests well before their deadline") {
  Fixture fixture;
  fixture.Measure(milliseconds(20));
  fixture.FillTarget();
  REQUIRE(fixture.Offer(milliseconds(2000)).verdict == Verdict::kQueued);
  milliseconds waited{0};
  std::vector<RefusedRequest> refused;
  while (refused.empty() && waited < milliseconds(2000)) {
    fixture.clock().Advance(AdmissionController::kPollInterval);
    waited += AdmissionController::kPollInterval;
    const AdmissionChanges changes = fixture.admission().Poll();
    CHECK(changes.admitted.empty());
    refused = changes.refused;
  }
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].ticket == RequestTicket(fixture.last_ticket()));
  CHECK(waited <= milliseconds(1100));
}

// A freeze of ten seconds ends, and all that ran through it finishes at once.
// If these latencies counted as run times, the next request would be refused.
TEST_CASE("requests that arrive after a freeze are not refused for it") {
  Fixture fixture;
  fixture.Measure(milliseconds(20));
  fixture.FillTarget();
  fixture.clock().Advance(milliseconds(10'000));
  for (std::uint64_t ticket = 2; ticket <= 5; ++ticket) {
    fixture.Finish(ticket, milliseconds(10'000));
  }
  fixture.FillTarget();
  CHECK(fixture.Offer(milliseconds(500)).verdict == Verdict::kQueued);
}

// Each run took longer than any deadline allows. If all requests were refused
// for that, nothing would run, and nothing could show that the target is fast
// again.
TEST_CASE("an idle target gets a request even if past runs were too long") {
  Fixture fixture;
  for (int run = 0; run < 20; ++run) {
    fixture.Measure(milliseconds(5000));
  }
  CHECK(fixture.Offer(milliseconds(1000)).verdict == Verdict::kAdmitted);
  CHECK(fixture.Offer(milliseconds(1000)).verdict == Verdict::kRefused);
}

// Run one at a time, requests take fifteen times as long as was assumed before
// any was measured. Each looks like a freeze; if they were skipped for that,
// the run time would never be learned.
TEST_CASE("run times far above the initial assumption are learned") {
  Fixture fixture;
  for (int run = 0; run < 40; ++run) {
    fixture.Measure(milliseconds(300));
  }
  fixture.FillTarget();
  CHECK(fixture.Offer(milliseconds(250)).verdict == Verdict::kRefused);
}

TEST_CASE("long work leaves capacity to short work, and vice versa") {
  Fixture fixture;
  fixture.FillTarget();
  fixture.clock().Advance(milliseconds(5000));
  for (std::uint64_t ticket = 1; ticket <= 4; ++ticket) {
    fixture.Finish(ticket, milliseconds(20));
  }
  for (int i = 0; i < 4; ++i) {
    fixture.Offer(milliseconds(60'000), WorkClass::kLong);
  }
  CHECK(fixture.admission().Status().running_long < 4);
  CHECK(fixture.admission().Status().running_long >= 1);
  CHECK(fixture.Offer(milliseconds(1000)).verdict == Verdict::kAdmitted);
}

// Overload lasts. Once the burst credit is spent, a request that would wait
// longer than max_wait_without_credit must be refused; otherwise every answer
// would come at its deadline.
TEST_CASE("without credit no request waits longer than in steady overload") {
  AdmissionController::Parameters parameters = Fixture::Declared();
  parameters.burst_duration = std::chrono::seconds(0);
  Fixture fixture(parameters);
  fixture.FillTarget();
  AdmissionDecision decision;
  int queued = 0;
  while ((decision = fixture.Offer(milliseconds(60'000))).verdict ==
         Verdict::kQueued) {
    ++queued;
    REQUIRE(queued < 1000);
  }
  CHECK(decision.refusal->reason == RefusalReason::kOverloaded);
  // Four runs of 20 ms at once: one starts every 5 ms.
  CHECK(queued == parameters.max_wait_without_credit / milliseconds(5));
}

TEST_CASE("cancelling removes a queued request and reports a running one") {
  using Result = AdmissionController::CancelResult;
  Fixture fixture;
  fixture.FillTarget();
  REQUIRE(fixture.Offer(milliseconds(1000)).verdict == Verdict::kQueued);
  CHECK(fixture.admission().Cancel(RequestTicket(5)) ==
        Result::kRemovedFromQueue);
  CHECK(fixture.admission().Cancel(RequestTicket(5)) == Result::kUnknown);
  CHECK(fixture.admission().Cancel(RequestTicket(1)) == Result::kRunning);
  CHECK(fixture.admission().Status().running == 4);
}

// A run passes its deadline. If it stopped counting against the limit before
// the target reports its end, the target would run more requests than the
// limit.
TEST_CASE("an overdue run is reported once and counts against the limit") {
  Fixture fixture;
  REQUIRE(fixture.Offer(milliseconds(100)).verdict == Verdict::kAdmitted);
  fixture.clock().Advance(milliseconds(120));
  CHECK(fixture.admission().Poll().overdue ==
        std::vector<RequestTicket>{RequestTicket(1)});
  fixture.clock().Advance(milliseconds(120));
  CHECK(fixture.admission().Poll().overdue.empty());
  CHECK(fixture.admission().Status().running == 1);
}

TEST_CASE("a leaving target refuses queued requests and keeps running ones") {
  Fixture fixture;
  fixture.FillTarget();
  fixture.Offer(milliseconds(1000));
  fixture.admission().StopAdmitting();
  const AdmissionChanges changes = fixture.admission().Poll();
  REQUIRE(changes.refused.size() == 1);
  CHECK(changes.refused[0].refusal.reason == RefusalReason::kTargetLeaving);
  CHECK(fixture.Offer(milliseconds(1000)).verdict == Verdict::kRefused);
  CHECK(fixture.admission().Status().running == 4);
}

TEST_CASE("reporting the end of a run twice is an error") {
  Fixture fixture;
  fixture.Measure(milliseconds(20));
  CHECK_THROWS_AS(fixture.Finish(1, milliseconds(20)), UnknownTicketError);
}

}  // namespace citrongrade
