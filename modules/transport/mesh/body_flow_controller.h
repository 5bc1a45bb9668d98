#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/body_transfer_scheduler.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/transport/async/task.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

// Flow control for long request bodies from other nodes: they wait at their
// senders until this node's link has capacity for them. Runs on the event loop.
// See also BodyTransferScheduler, which decides which body is next.
class BodyFlowController {
 public:
  // `bytes_per_second`: capacity of this host's link.
  BodyFlowController(boost::asio::io_context& loop,
                     const Clock& clock,
                     double bytes_per_second);
  ~BodyFlowController();
  BodyFlowController(const BodyFlowController&) = delete;
  BodyFlowController& operator=(const BodyFlowController&) = delete;

  // The request that a body belongs to.
  struct Owner {
    // As in ForwardMetadata.
    std::uint64_t sender_id = 0;
    std::string request_id;

    friend auto operator<=>(const Owner&, const Owner&) = default;
  };

  // Waits for a permit, to be kept until the body has arrived or its transfer
  // has failed. Returns nullptr if the body can't arrive by `deadline` or has
  // been withdrawn.
  Task<std::shared_ptr<void>> Acquire(Owner owner,
                                      std::uint64_t bytes,
                                      Clock::TimePoint soft_deadline,
                                      Clock::TimePoint deadline);
  // Rejects those of the sender's bodies that still wait. Returns their number.
  std::size_t Withdraw(std::uint64_t sender_id,
                       const std::set<std::string>& request_ids);
  // Call this every 20 ms.
  void Tick() { ResumeWaiting(); }
  Clock::Duration DrainTime() const { return m_scheduler.DrainTime(); }

 private:
  class Permit;
  struct Pending;
  // Expires with the controller. Permits may outlive it, because the coroutines
  // that hold them end with the event loop.
  struct AliveToken {
    explicit AliveToken(BodyFlowController& owner) : controller(owner) {}
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
