#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/target_hold_tracker.h"
#include "modules/state/mesh/key_slot.h"

namespace citrongrade {

// Tracks what one target holds, or may still hold, when its node sends the
// grants and releases as calls to the target.
//
// A node asks its target to take keys for a limited time (grant), to keep them
// longer (the same grant again) and to give them back (release). The target may
// leave a grant unanswered and apply it seconds later; the hold's time then
// counts from the grant's arrival. A range therefore counts as returned only
// when no grant that covers it can still take effect; otherwise two targets
// could hold it.
//
// Use it as described at TargetHoldTracker. Send the calls that DueGrants() and
// DueReleases() return, and report the outcome of each.
//
// Not thread-safe; does no I/O. See also TargetController, which sends the
// calls, and PollingHoldTracker, for targets that get grants in the replies to
// their reports.
class PushHoldTracker final : public TargetHoldTracker {
 public:
  struct Grant {
    std::uint64_t id = 0;
    SlotRange range;
    std::uint64_t fence = 0;
    std::string handover;
    std::chrono::milliseconds hold{0};

    friend auto operator<=>(const Grant&, const Grant&) = default;
  };

  struct Release {
    std::uint64_t id = 0;
    SlotRange range;
    std::uint64_t fence = 0;
    // An earlier release of this range got no answer.
    bool is_retry = false;

    friend auto operator<=>(const Release&, const Release&) = default;
  };

  // Interval at which a grant is renewed while the target should keep the keys.
  static constexpr std::chrono::milliseconds kRenewalInterval{600};
  // Pause before a call is repeated that failed or was not answered.
  static constexpr std::chrono::milliseconds kRetryDelay{60};
  using TargetHoldTracker::kCallTimeout;
  using TargetHoldTracker::kMinTargetClockRate;
  using TargetHoldTracker::kServeMargin;

  explicit PushHoldTracker(const Clock& clock);

  // `lease_until`: end of the node's lease; the target may not serve beyond it.
  std::vector<Grant> DueGrants(Clock::TimePoint lease_until);
  void OnGranted(std::uint64_t id);
  void OnGrantUnanswered(std::uint64_t id);
  // The grant was not sent, so it can't take effect later.
  void OnGrantNotSent(std::uint64_t id);
  // The target has seen a higher fencing token: the range needs a new grant.
  void OnGrantRefused(std::uint64_t id);

  std::vector<Release> DueReleases();
  void OnReleased(std::uint64_t id, const std::string& handover);
  void OnReleaseUnanswered(std::uint64_t id);

  std::vector<ReturnedRange> ReturnedRanges() override;
  Clock::TimePoint HeldUntil() const override;
  void EndAll() override;
  bool HasEarlierGrants() override;

 private:
  void OnMustRelease(Hold& hold) override;
  void OnReplaced(const Hold& hold) override;
  template <typename Change>
  void CompleteCall(std::uint64_t id, Change change);
  void AddDueReleases(std::vector<Hold>& holds, std::vector<Release>& due);
  bool HasEnded(const Hold& hold) const;

  std::uint64_t m_next_id = 1;
  // Of earlier processes of the target. Whoever lives at its address now is
  // asked to release them.
  std::vector<Hold> m_earlier_holds;
};

}  // namespace citrongrade
