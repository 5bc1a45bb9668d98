#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/body_transfer_scheduler.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/transport/async/task.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

// Lets long bodies of other nodes wait at their senders until this node's link
// has room for them. On the event loop. Kin: BodyRoom decides.
class BodyFlowController {
 public:
  // `bytes_per_second`: of this host's link.
  BodyFlowController(boost::asio::io_context& loop,
                     const Clock& clock,
                     double bytes_per_second);
  ~BodyFlowController();
  BodyFlowController(const BodyFlowController&) = delete;
  BodyFlowController& operator=(const BodyFlowController&) = delete;

  // A place, kept until the body has come or won't; nullptr: it can't be here
  // by `latest`.
  Task<std::shared_ptr<void>> Acquire(std::uint64_t bytes,
                                      Clock::TimePoint aim,
                                      Clock::TimePoint latest);
  // Every 20 ms.
  void Tick() { ResumeWaiting(); }
  Clock::Duration DrainTime() const { return m_scheduler.DrainTime(); }

 private:
  class Permit;
  struct Pending;
  // What waits for a body may outlive the gate, as it ends with the loop.
  struct AliveToken {
    explicit AliveToken(BodyFlowController& its_gate) : controller(its_gate) {}
    BodyFlowController& controller;
  };

  void ResumeWaiting();

  const std::shared_ptr<AliveToken> m_alive_token;
  boost::asio::io_context& m_loop;
  BodyTransferScheduler m_scheduler;
  RequestTicket m_next_ticket{1};
  std::map<RequestTicket, std::shared_ptr<Pending>> m_pending;
};

}  // namespace citrongrade
