#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/mesh/target_hold_tracker.h"
#include "modules/state/mesh/key_slot.h"

namespace citrongrade {

// What one target holds by its node's orders, and what it may still hold.
//
// A node asks its target to take keys (grant, for a time), to take them for
// longer (the same grant again) and to give them back (release). The target may
// leave a grant unanswered and carry it out seconds later; its time counts from
// its arrival all the same. So a range counts as given back only when no grant
// that covers it can still take effect, or two targets could hold it.
//
// How to use it: as TargetHolds says. Send what DueGrants() and DueReleases()
// give, and report each one's end.
//
// Thread-confined, no input or output. Kin: TargetKeeper sends the calls;
// ReportedHolds does the same for targets that get grants with the answers to
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
    // One before it got no answer.
    bool is_retry = false;

    friend auto operator<=>(const Release&, const Release&) = default;
  };

  // A grant is sent again this often while its target should keep the keys.
  static constexpr std::chrono::milliseconds kRenewalInterval{600};
  // After a call without an answer.
  static constexpr std::chrono::milliseconds kRetryDelay{60};
  using TargetHoldTracker::kCallTimeout;

  explicit PushHoldTracker(const Clock& clock);

  // `lease_until`: until when the node may let its target serve.
  std::vector<Grant> DueGrants(Clock::TimePoint lease_until);
  void OnGranted(std::uint64_t id);
  void OnGrantUnanswered(std::uint64_t id);
  // It was never sent: nothing of it can arrive.
  void OnGrantNotSent(std::uint64_t id);
  // It has seen a higher fencing token: the range needs a new grant.
  void OnGrantRefused(std::uint64_t id);

  std::vector<Release> DueReleases();
  void OnReleased(std::uint64_t id, const std::string& handover);
  void OnReleaseUnanswered(std::uint64_t id);

  std::vector<ReturnedRange> ReturnedRanges() override;
  Clock::TimePoint HeldUntil() const override;

 private:
  void OnMustRelease(Hold& hold) override;
  template <typename Change>
  void CompleteCall(std::uint64_t id, Change change);

  std::uint64_t m_next_id = 1;
};

}  // namespace citrongrade
