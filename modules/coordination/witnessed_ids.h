#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/messages/collect_ids_reply.h"
#include "modules/coordination/messages/ready_marker.h"
#include "modules/coordination/messages/register_ids_request.h"
#include "modules/coordination/messages/registered_id.h"
#include "modules/state/member_id.h"
#include "modules/state/request_id_hash.h"

namespace citrongrade {

// A witness's copy of the request ids of the owners it bears witness for: what
// a successor collects. Ids and markers only, no answers. Bounded; an id is
// never evicted before its horizon. Pure. Kin: RequestIdMemory, the owner's.
class WitnessedIds {
 public:
  using TimePoint = Clock::TimePoint;

  explicit WitnessedIds(const CoordinatorSettings& settings);

  // False when there is no room; nothing of the request is kept then.
  bool Store(const MemberId& owner,
             const RegisterIdsRequest& request,
             TimePoint now);

  // One chunk. Call NoteGone() first: an id that expired between two chunks
  // would shift the later ones, and one of them would be missed.
  CollectIdsReply Collect(const MemberId& owner,
                          std::uint32_t chunk_index,
                          TimePoint now) const;

  // The owner is gone from the log: all of it is kept for a while and then
  // forgotten.
  void NoteGone(const MemberId& owner, TimePoint now);
  void ForgetExpired(TimePoint now);

  std::size_t size() const { return m_size; }

 private:
  struct IdKey {
    SlotIndex slot;
    RequestIdHash id;

    friend auto operator<=>(const IdKey&, const IdKey&) = default;
  };
  struct Remembered {
    TimePoint registered;
    std::chrono::milliseconds resend_horizon{0};

    TimePoint Expiry() const { return registered + resend_horizon; }
  };
  struct Owner {
    std::map<IdKey, Remembered> ids;
    // The latest epoch for which the owner was ready, by slot.
    std::map<SlotIndex, Epoch> markers;
  };
  struct Expiry {
    MemberId owner;
    IdKey key;
  };

  void StoreId(Owner& owner,
               const MemberId& owner_id,
               const RegisteredId& id,
               TimePoint now);

  const CoordinatorSettings m_settings;
  std::map<MemberId, Owner> m_owners;
  std::map<MemberId, TimePoint> m_gone_until;
  std::multimap<TimePoint, Expiry> m_expiries;
  std::size_t m_size = 0;
};

}  // namespace citrongrade
