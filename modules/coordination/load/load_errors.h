#pragma once

#include <stdexcept>
#include <utility>

#include "modules/coordination/load/load_identifiers.h"

namespace citrongrade {

// The end of a request that isn't running was reported: it was reported twice,
// or the request was never admitted. If this were ignored, the counts of
// running requests would become wrong.
class UnknownTicketError : public std::logic_error {
 public:
  explicit UnknownTicketError(RequestTicket ticket)
      : std::logic_error("the request is not running"), m_ticket(ticket) {}

  RequestTicket ticket() const { return m_ticket; }

 private:
  RequestTicket m_ticket;
};

// A call named a target that was never added.
class UnknownTargetError : public std::logic_error {
 public:
  explicit UnknownTargetError(TargetId target)
      : std::logic_error("unknown target"), m_target(std::move(target)) {}

  const TargetId& target() const { return m_target; }

 private:
  TargetId m_target;
};

}  // namespace citrongrade
