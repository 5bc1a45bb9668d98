#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/body_room.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/transport/async/task.h"

namespace boost::asio {
class io_context;
}

namespace citrongrade {

// Lets long bodies of other nodes wait at their senders until this node's link
// has room for them. On the event loop. Kin: BodyRoom decides.
class BodyGate {
 public:
  // `bytes_per_second`: of this host's link.
  BodyGate(boost::asio::io_context& loop,
           const Clock& clock,
           double bytes_per_second);
  ~BodyGate();
  BodyGate(const BodyGate&) = delete;
  BodyGate& operator=(const BodyGate&) = delete;

  // A place, kept until the body has come or won't; nullptr: it can't be here
  // by `latest`.
  Task<std::shared_ptr<void>> Enter(std::uint64_t bytes,
                                    Clock::TimePoint aim,
                                    Clock::TimePoint latest);
  // Every 20 ms.
  void Tick() { Resume(); }
  Clock::Duration DrainTime() const { return m_room.DrainTime(); }

 private:
  class Place;
  struct Pending;
  // What waits for a body may outlive the gate, as it ends with the loop.
  struct Life {
    explicit Life(BodyGate& its_gate) : gate(its_gate) {}
    BodyGate& gate;
  };

  void Resume();

  const std::shared_ptr<Life> m_life;
  boost::asio::io_context& m_loop;
  BodyRoom m_room;
  RequestTicket m_next_ticket{1};
  std::map<RequestTicket, std::shared_ptr<Pending>> m_pending;
};

}  // namespace citrongrade
