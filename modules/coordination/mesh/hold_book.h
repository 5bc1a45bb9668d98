#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/state/mesh/key_slot.h"
#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// What one target holds by its node's grants, and what it may still hold.
//
// A node asks its target to take keys (grant, for a time), to take them for
// longer (the same grant again) and to give them back (release). The target may
// leave a grant unanswered and carry it out seconds later; its time counts from
// its arrival all the same. So a range counts as given back only when no grant
// that covers it can still take effect, or two targets could hold it.
//
// How to use it: SetOwned() with each new view; runs that are to move are
// released. Send what DueGrants() and DueReleases() give, and report each one's
// end. Everything that Returned() lists goes into each heartbeat, until
// the view shows another owner.
//
// Thread-confined, no input or output. Kin: TargetKeeper sends the calls.
class HoldBook {
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
    bool is_repeat = false;

    friend auto operator<=>(const Release&, const Release&) = default;
  };

  struct ReturnedRange {
    SlotRange range;
    std::uint64_t fence = 0;
    std::string handover;

    friend auto operator<=>(const ReturnedRange&,
                            const ReturnedRange&) = default;
  };

  // A grant is sent again this often while its target should keep the keys.
  static constexpr std::chrono::milliseconds kRenewal{600};
  // After a call without an answer.
  static constexpr std::chrono::milliseconds kRepeat{60};
  // A call that was given up may arrive this much later than it was sent.
  static constexpr std::chrono::milliseconds kCallTimeout{400};

  explicit HoldBook(const Clock& clock);

  // The runs that the view gives to the target's present life.
  void SetOwned(const std::vector<OwnedRun>& owned);
  // The target's process is another one, or gone: it holds nothing.
  void Clear();

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

  bool MayServe(std::uint32_t slot) const;
  // The view gives it to this target, which has not confirmed a grant yet.
  bool IsComing(std::uint32_t slot) const;
  // It is about to be served elsewhere.
  bool IsLeaving(std::uint32_t slot) const;
  std::vector<ReturnedRange> Returned();
  // The target holds nothing after this, unless it is granted anew.
  Clock::TimePoint HeldUntil() const;
  // True once every range that the view gives is held or given back.
  bool HasNothingToGiveBack() const;
  std::size_t range_count() const { return m_holds.size(); }

 private:
  enum class State { kWanted, kHeld, kReleasing, kReturned };

  struct Hold {
    SlotRange range;
    std::uint64_t fence = 0;
    std::string handover;
    State state = State::kWanted;
    // The target serves it until then.
    Clock::TimePoint serve_until;
    // A grant without an answer may keep it held until then.
    Clock::TimePoint unanswered_until;
    Clock::TimePoint next_call;
    // Of the call under way; 0: none.
    std::uint64_t call = 0;
    Clock::TimePoint call_sent;
    std::chrono::milliseconds call_hold{0};
    bool was_release_unanswered = false;
    // The target confirmed the release.
    bool is_released = false;
    std::string returned_handover;
  };

  void SplitAt(std::uint32_t slot);
  static bool CanJoin(const Hold& left, const Hold& right);
  void JoinNeighbours();
  const Hold* FindHold(std::uint32_t slot) const;
  // Moves what is held of the run from the book to `holds`, and adds what is
  // still to be granted.
  void TakeRun(const OwnedRun& run, std::vector<Hold>& holds);
  // What is left in the book: the view gives it to nobody here any more.
  void ForgetRest();
  static void BeginRelease(Hold& hold, Clock::TimePoint now);
  template <typename Change>
  void ForCall(std::uint64_t id, Change change);

  const Clock& m_clock;
  // What an earlier process of this node granted, or what is no longer in the
  // book, may hold until then.
  Clock::TimePoint m_earlier_until;
  // In the order of their slots.
  std::vector<Hold> m_holds;
  std::uint64_t m_next_id = 1;
};

}  // namespace citrongrade
