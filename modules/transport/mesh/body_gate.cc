#include "modules/transport/mesh/body_gate.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace citrongrade {

struct BodyGate::Pending {
  explicit Pending(boost::asio::io_context& loop) : wakeup(loop) {}

  boost::asio::steady_timer wakeup;
  bool is_granted = false;
};

// Given back however the body's way ends.
class BodyGate::Place {
 public:
  Place(std::weak_ptr<Life> life, RequestTicket ticket)
      : m_life(std::move(life)), m_ticket(ticket) {}
  ~Place() {
    const std::shared_ptr<Life> life = m_life.lock();
    if (!life)
      return;
    life->gate.m_room.OnEnded(m_ticket);
    life->gate.Resume();
  }
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;

 private:
  const std::weak_ptr<Life> m_life;
  const RequestTicket m_ticket;
};

BodyGate::BodyGate(boost::asio::io_context& loop,
                   const Clock& clock,
                   double bytes_per_second)
    : m_life(std::make_shared<Life>(*this)),
      m_loop(loop),
      m_room(clock, bytes_per_second) {}

BodyGate::~BodyGate() = default;

Task<std::shared_ptr<void>> BodyGate::Enter(std::uint64_t bytes,
                                            Clock::TimePoint aim,
                                            Clock::TimePoint latest) {
  const RequestTicket ticket = m_next_ticket;
  m_next_ticket = m_next_ticket.Next();
  const BodyRoom::Verdict verdict = m_room.Offer({ticket, bytes, aim, latest});
  if (verdict == BodyRoom::Verdict::kRefused)
    co_return nullptr;
  auto place = std::make_shared<Place>(m_life, ticket);
  if (verdict == BodyRoom::Verdict::kGranted)
    co_return place;
  auto pending = std::make_shared<Pending>(m_loop);
  // Poll() ends the wait.
  pending->wakeup.expires_at(boost::asio::steady_timer::time_point::max());
  m_pending.emplace(ticket, pending);
  boost::system::error_code ignored;
  co_await pending->wakeup.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  m_pending.erase(ticket);
  if (!pending->is_granted)
    co_return nullptr;
  co_return place;
}

void BodyGate::Resume() {
  const BodyRoom::Changes changes = m_room.Poll();
  const auto wake = [this](RequestTicket ticket, bool is_granted) {
    const auto found = m_pending.find(ticket);
    if (found == m_pending.end())
      return;
    found->second->is_granted = is_granted;
    found->second->wakeup.cancel();
  };
  for (const RequestTicket ticket : changes.granted)
    wake(ticket, true);
  for (const RequestTicket ticket : changes.refused)
    wake(ticket, false);
}

}  // namespace citrongrade
