#pragma once

#include <compare>
#include <variant>

#include "modules/coordination/messages/close_reply.h"
#include "modules/coordination/messages/close_request.h"
#include "modules/coordination/messages/collect_ids_reply.h"
#include "modules/coordination/messages/collect_ids_request.h"
#include "modules/coordination/messages/drain_notice.h"
#include "modules/coordination/messages/hand_off_reply.h"
#include "modules/coordination/messages/hand_off_request.h"
#include "modules/coordination/messages/lapse_notice.h"
#include "modules/coordination/messages/lease_reply.h"
#include "modules/coordination/messages/lease_request.h"
#include "modules/coordination/messages/register_ids_reply.h"
#include "modules/coordination/messages/register_ids_request.h"
#include "modules/state/member_id.h"

namespace citrongrade {

// One message between two nodes' coordinators. One way: a reply is a message of
// its own. Messages may be lost, repeated, late and out of order.
struct PeerMessage {
  using Content = std::variant<LeaseRequest,
                               LeaseReply,
                               CloseRequest,
                               CloseReply,
                               RegisterIdsRequest,
                               RegisterIdsReply,
                               CollectIdsRequest,
                               CollectIdsReply,
                               HandOffRequest,
                               HandOffReply,
                               DrainNotice,
                               LapseNotice>;

  MemberId sender;
  // A message to another incarnation than the receiving one is dropped.
  MemberId receiver;
  Content content;

  friend auto operator<=>(const PeerMessage&, const PeerMessage&) = default;
};

}  // namespace citrongrade
