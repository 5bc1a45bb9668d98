#pragma once

#include <stdexcept>
#include <utility>

#include "modules/coordination/load/load_identifiers.h"

namespace citrongrade {

// An end was reported for a request that does not run: reported twice, or it
// was never admitted. Counts of what runs would drift from the truth.
class UnknownTicketError : public std::logic_error {
 public:
  explicit UnknownTicketError(RequestTicket ticket)
      : std::logic_error("no such request runs here"), m_ticket(ticket) {}

  RequestTicket ticket() const { return m_ticket; }

 private:
  RequestTicket m_ticket;
};

// A target was named that was never added.
class UnknownTargetError : public std::logic_error {
 public:
  explicit UnknownTargetError(TargetId target)
      : std::logic_error("no such target"), m_target(std::move(target)) {}

  const TargetId& target() const { return m_target; }

 private:
  TargetId m_target;
};

}  // namespace citrongrade
