#include "modules/transport/mesh/body_flow_controller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace citrongrade {

struct BodyFlowController::Pending {
  Pending(boost::asio::io_context& loop, Owner body_owner)
      : owner(std::move(body_owner)), wakeup(loop) {}

  const Owner owner;
  boost::asio::steady_timer wakeup;
  bool is_granted = false;
};

// Releases the capacity of a body when destroyed, however the transfer ends.
class BodyFlowController::Permit {
 public:
  Permit(std::weak_ptr<AliveToken> alive_token, RequestTicket ticket)
      : m_alive_token(std::move(alive_token)), m_ticket(ticket) {}
  ~Permit() {
    const std::shared_ptr<AliveToken> alive = m_alive_token.lock();
    if (!alive)
      return;
    alive->controller.m_scheduler.OnFinished(m_ticket);
    alive->controller.ResumeWaiting();
  }
  Permit(const Permit&) = delete;
  Permit& operator=(const Permit&) = delete;

 private:
  const std::weak_ptr<AliveToken> m_alive_token;
  const RequestTicket m_ticket;
};

BodyFlowController::BodyFlowController(boost::asio::io_context& loop,
                                       const Clock& clock,
                                       double bytes_per_second)
    : m_alive_token(std::make_shared<AliveToken>(*this)),
      m_loop(loop),
      m_scheduler(clock, bytes_per_second) {}

BodyFlowController::~BodyFlowController() = default;

Task<std::shared_ptr<void>> BodyFlowController::Acquire(
    Owner owner,
    std::uint64_t bytes,
    Clock::TimePoint soft_deadline,
    Clock::TimePoint deadline) {
  const RequestTicket ticket = m_next_ticket;
  m_next_ticket = m_next_ticket.Next();
  const BodyTransferScheduler::Verdict verdict =
      m_scheduler.Offer({ticket, bytes, soft_deadline, deadline});
  if (verdict == BodyTransferScheduler::Verdict::kRefused)
    co_return nullptr;
  auto permit = std::make_shared<Permit>(m_alive_token, ticket);
  if (verdict == BodyTransferScheduler::Verdict::kGranted)
    co_return permit;
  auto pending = std::make_shared<Pending>(m_loop, std::move(owner));
  // ResumeWaiting() or Withdraw() ends the wait.
  pending->wakeup.expires_at(boost::asio::steady_timer::time_point::max());
  m_pending.emplace(ticket, pending);
  boost::system::error_code ignored;
  co_await pending->wakeup.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  m_pending.erase(ticket);
  if (!pending->is_granted)
    co_return nullptr;
  co_return permit;
}

std::size_t BodyFlowController::Withdraw(
    std::uint64_t sender_id,
    const std::set<std::string>& request_ids) {
  std::size_t count = 0;
  for (const auto& [ticket, pending] : m_pending) {
    if (pending->is_granted || pending->owner.sender_id != sender_id ||
        !request_ids.contains(pending->owner.request_id))
      continue;
    // Its permit, which leaves the scheduler's queue, ends with the wait.
    pending->wakeup.cancel();
    ++count;
  }
  return count;
}

void BodyFlowController::ResumeWaiting() {
  const BodyTransferScheduler::Changes changes = m_scheduler.Poll();
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
