#include <doctest/doctest.h>

#include "modules/coordination/lease_holder.h"
#include "modules/coordination/manual_clock.h"
#include "modules/coordination/witness_ledger.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

const MemberId kHolder{NodeId("holder"), Incarnation(1)};
const WitnessSetVersion kVersion(9);

MemberId MakeWitnessId(int number) {
  return {NodeId("witness-" + std::to_string(number)), Incarnation(2)};
}

WitnessSet MakeSet(WitnessSetVersion version, int count) {
  WitnessSet set{version, {}};
  for (int i = 0; i < count; ++i) {
    set.witnesses.push_back({MakeWitnessId(i), "boot", "address"});
  }
  return set;
}

// Answers the first `count` of the renewals.
void Answer(LeaseHolder& holder,
            const std::vector<LeaseHolder::Renewal>& renewals,
            std::size_t count,
            Clock::TimePoint now,
            LeaseReply::Answer answer = LeaseReply::Answer::kGranted) {
  for (std::size_t i = 0; i < count; ++i) {
    const LeaseRequest& request = renewals[i].request;
    holder.OnReply(renewals[i].witness,
                   {request.version, request.sequence, answer}, now);
  }
}

}  // namespace

TEST_CASE("a lease counts from before its requests were sent") {
  ManualClock clock;
  const CoordinatorSettings settings;
  LeaseHolder holder(settings);
  holder.SetWitnessSets(MakeSet(kVersion, 3), std::nullopt, clock.Now());
  const Clock::TimePoint sent = clock.Now();
  const auto renewals = holder.DueRenewals(sent);
  clock.Advance(milliseconds(400));
  Answer(holder, renewals, 1, clock.Now());
  CHECK(holder.End() == Clock::TimePoint::min());
  Answer(holder, renewals, 2, clock.Now());
  CHECK(holder.End() == sent + settings.lease_duration);
}

// A holder was paused. Answers to what it sent before arrive when it wakes; it
// must not count them, since it can't tell how long ago they were given.
TEST_CASE("answers from before a pause are worth nothing") {
  ManualClock clock;
  LeaseHolder holder((CoordinatorSettings()));
  holder.SetWitnessSets(MakeSet(kVersion, 1), std::nullopt, clock.Now());
  const auto renewals = holder.DueRenewals(clock.Now());
  holder.GiveUp(clock.Now());
  Answer(holder, renewals, 1, clock.Now());
  CHECK(holder.End() == Clock::TimePoint::min());
  Answer(holder, holder.DueRenewals(clock.Now()), 1, clock.Now());
  CHECK(holder.End() > clock.Now());
}

TEST_CASE("grants of a pending set count only after the change-over") {
  ManualClock clock;
  LeaseHolder holder((CoordinatorSettings()));
  const WitnessSetVersion pending(12);
  holder.SetWitnessSets(MakeSet(kVersion, 1), MakeSet(pending, 1), clock.Now());
  const auto renewals = holder.DueRenewals(clock.Now());
  REQUIRE(renewals.size() == 2);
  holder.OnReply(
      renewals[1].witness,
      {pending, renewals[1].request.sequence, LeaseReply::Answer::kGranted},
      clock.Now());
  CHECK(holder.End() == Clock::TimePoint::min());
  CHECK(holder.HoldsPendingMajority(clock.Now()));
  holder.ChangeOver();
  CHECK(holder.End() > clock.Now());
}

// The holder is cut off; its witness closes the lease and testifies. Should the
// holder come back before the takeover stands in the log, it must not be
// granted anything under that set, or two owners would serve.
TEST_CASE("a witness that closed a lease grants it no more") {
  ManualClock clock;
  const CoordinatorSettings settings;
  WitnessLedger ledger(settings, {}, clock.Now());
  const WitnessLedger::LeaseKey lease(kHolder, kVersion);
  CHECK(ledger.Grant(lease, clock.Now()) == LeaseReply::Answer::kGranted);
  const auto whole = settings.lease_duration + settings.drift_margin;
  CHECK(ledger.TimeToClose(lease, clock.Now()) == whole);
  clock.Advance(whole);
  REQUIRE(ledger.TimeToClose(lease, clock.Now()) == milliseconds(0));
  ledger.Close(lease);
  CHECK(ledger.Grant(lease, clock.Now()) == LeaseReply::Answer::kClosed);
  const WitnessLedger::LeaseKey next(kHolder, WitnessSetVersion(12));
  CHECK(ledger.Grant(next, clock.Now()) == LeaseReply::Answer::kGranted);
}

// A witness's clock jumps ahead. By that clock all leases are over, while their
// holders, whose clocks did not jump, go on serving.
TEST_CASE("after a jump of its clock a witness takes its grants to be fresh") {
  ManualClock clock;
  const CoordinatorSettings settings;
  WitnessLedger ledger(settings, {}, clock.Now());
  const WitnessLedger::LeaseKey lease(kHolder, kVersion);
  ledger.Grant(lease, clock.Now());
  clock.Advance(std::chrono::hours(1));
  ledger.OnClockJump(clock.Now());
  const auto whole = settings.lease_duration + settings.drift_margin;
  CHECK(ledger.TimeToClose(lease, clock.Now()) == whole);
  CHECK(ledger.TimeToTestifyWithoutMemory(clock.Now()) == whole);
}

}  // namespace citrongrade
