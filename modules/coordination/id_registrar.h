#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/messages/ready_marker.h"
#include "modules/coordination/messages/register_ids_reply.h"
#include "modules/coordination/messages/register_ids_request.h"
#include "modules/coordination/messages/registered_id.h"
#include "modules/state/member_id.h"
#include "modules/state/service_id.h"
#include "modules/state/witness_set.h"

namespace citrongrade {

// An owner's way of making request ids safe before they run: it gives them to
// its witnesses, and they are safe once a majority of the counted witness set
// has them.
//
// Each witness gets the items in one order, one message at a time, and answers
// before it gets more. So a witness that has an item has all earlier ones, and
// one number for each witness says what it has. While a message is under way
// new items gather behind it: batches grow with the load, and one that finds
// the way free goes at once. Pure: the caller sends. Kin: WitnessedIds.
class IdRegistrar {
 public:
  using TimePoint = Clock::TimePoint;
  // Position of an item in the order; grows from 1.
  using Position = std::uint64_t;

  struct Outgoing {
    MemberId witness;
    RegisterIdsRequest request;
  };
  // Everything that a new witness has to be given first.
  struct Contents {
    std::vector<RegisteredId> ids;
    std::vector<ReadyMarker> markers;
  };
  using ContentsSource = std::function<Contents()>;

  // `contents` is asked whenever a witness has to be filled anew.
  IdRegistrar(const CoordinatorSettings& settings,
              const ServiceId& service,
              ContentsSource contents);

  // Members of either set get everything; others get nothing any more.
  void SetWitnessSets(const WitnessSet& confirmed,
                      const std::optional<WitnessSet>& pending);

  Position Add(const RegisteredId& id, TimePoint now);
  Position Add(const ReadyMarker& marker, TimePoint now);
  Position last_position() const { return m_last; }

  std::vector<Outgoing> DueMessages(TimePoint now);
  void OnReply(const MemberId& witness,
               const RegisterIdsReply& reply,
               TimePoint now);

  // A majority of the set has all items up to this position, and all that the
  // owner's memory held when they were first asked. The latest position for an
  // empty set.
  Position SafePosition(const WitnessSet& set) const;
  // A majority of the set has the whole copy.
  bool IsCopied(const WitnessSet& set) const;

  // Latest answer of some witness was that its memory is full.
  bool IsRefused() const;

 private:
  struct Item {
    Position position = 0;
    TimePoint added;
    RegisteredId id;
    std::optional<ReadyMarker> marker;
  };
  struct Channel {
    std::deque<Item> waiting;
    // Items of the message under way; empty when none is.
    std::size_t under_way = 0;
    std::uint64_t sequence = 0;
    TimePoint sent_at = TimePoint::min();
    TimePoint not_before = TimePoint::min();
    // All items up to here are stored; nothing before the copy is whole.
    std::optional<Position> stored;
    // Where `stored` starts once the copy is whole.
    Position copied_up_to = 0;
    bool needs_copy = true;
    bool refused = false;
  };

  Position AddItem(Item item);
  void FillWithCopy(Channel& channel, TimePoint now);
  std::optional<RegisterIdsRequest> NextRequest(Channel& channel,
                                                TimePoint now);
  RegisterIdsRequest MakeRequest(const Channel& channel, TimePoint now) const;

  const CoordinatorSettings m_settings;
  const ServiceId m_service;
  const ContentsSource m_contents;
  WitnessSetVersion m_confirmed_version;
  WitnessSetVersion m_pending_version;
  std::map<MemberId, Channel> m_channels;
  Position m_last = 0;
  std::uint64_t m_next_sequence = 1;
};

}  // namespace citrongrade
