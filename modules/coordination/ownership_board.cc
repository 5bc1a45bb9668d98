#include "modules/coordination/ownership_board.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <mutex>
#include <shared_mutex>
#include <string_view>
#include <utility>

namespace citrongrade {

namespace {

// A mesh of one needs no lease; targets are told a bounded time all the same.
constexpr std::chrono::milliseconds kLongestLease = std::chrono::hours(1);

using WorkCounters = std::vector<std::atomic<std::uint32_t>>;

GrantDecision Refuse(RequestErrorCode code) {
  GrantDecision decision;
  decision.refused = code;
  return decision;
}

}  // namespace

class OwnershipBoard::Impl {
 public:
  Impl(const Clock& clock,
       std::size_t max_waiting_calls,
       const Safeguards& safeguards)
      : m_clock(&clock),
        m_max_waiting_calls(max_waiting_calls),
        m_safeguards(safeguards),
        m_view(std::make_shared<const BoardView>()) {}

  std::shared_ptr<const BoardView> View() const { return m_view.load(); }

  void Publish(std::shared_ptr<const BoardView> view) {
    AddCounters(*view);
    m_view.store(std::move(view));
  }

  void PublishLease(Clock::TimePoint end) { m_lease_end.store(end); }

  GrantDecision CheckGrant(const ServiceId& service, SlotIndex slot) {
    std::atomic<std::uint32_t>* work = FindCounter(service, slot);
    if (work == nullptr) {
      return Refuse(RequestErrorCode::kNoOwner);
    }
    // Counted before the view is read: a move that freezes the slot after this
    // sees the work and waits, one that froze it before is seen here.
    work->fetch_add(1);
    const GrantDecision decision = Decide(service, slot);
    if (!decision.granted()) {
      work->fetch_sub(1);
    }
    return decision;
  }

  void EndWork(const ServiceId& service, SlotIndex slot) {
    std::atomic<std::uint32_t>* work = FindCounter(service, slot);
    // The caller ends work that no CheckGrant had granted.
    assert(work != nullptr && work->load() > 0);
    work->fetch_sub(1);
  }

  std::uint32_t WorkInFlight(const ServiceId& service, SlotIndex slot) const {
    const std::atomic<std::uint32_t>* work = FindCounter(service, slot);
    return work == nullptr ? 0 : work->load();
  }

  // Moves the call into the queue. False when the queue is full and
  // `may_refuse`; the call is left as it was.
  bool AddCall(GuardCall& call, bool may_refuse) {
    bool was_empty = false;
    {
      const std::lock_guard lock(m_calls_mutex);
      if (may_refuse && m_calls.size() >= m_max_waiting_calls) {
        return false;
      }
      was_empty = m_calls.empty();
      m_calls.push_back(std::move(call));
    }
    if (was_empty && m_wake_up) {
      m_wake_up();
    }
    return true;
  }

  std::vector<GuardCall> TakeCalls() {
    const std::lock_guard lock(m_calls_mutex);
    return std::exchange(m_calls, {});
  }

  void SetWakeUp(std::function<void()> wake_up) {
    m_wake_up = std::move(wake_up);
  }

 private:
  GrantDecision Decide(const ServiceId& service, SlotIndex slot) const {
    const std::shared_ptr<const BoardView> view = View();
    if (!view->ready || !view->self.has_value()) {
      return Refuse(RequestErrorCode::kNodeNotReady);
    }
    const bool is_own = service == view->own_service &&
                        slot.value() < view->own_epochs.size() &&
                        view->own_epochs[slot.value()] != Epoch();
    if (!is_own) {
      return Refuse(RequestErrorCode::kNoOwner);
    }
    if (view->frozen_slots.contains(slot)) {
      return Refuse(view->draining ? RequestErrorCode::kNodeDraining
                                   : RequestErrorCode::kLeaseLost);
    }
    return CheckLease(view->own_epochs[slot.value()]);
  }

  GrantDecision CheckLease(Epoch epoch) const {
    const Clock::TimePoint now = m_clock->Now();
    const Clock::TimePoint end = m_lease_end.load();
    // A process that was paused wakes here with its table and queue intact,
    // while others own its slots. The clock went on, so its lease has ended.
    if (end <= now && m_safeguards.lease_check_at_dispatch) {
      return Refuse(RequestErrorCode::kLeaseLost);
    }
    GrantDecision decision;
    decision.epoch = epoch;
    if (end > now) {
      const Clock::Duration remaining =
          end == Clock::TimePoint::max() ? kLongestLease : end - now;
      decision.lease_remaining =
          std::min(kLongestLease,
                   std::chrono::floor<std::chrono::milliseconds>(remaining));
    }
    return decision;
  }

  std::atomic<std::uint32_t>* FindCounter(const ServiceId& service,
                                          SlotIndex slot) const {
    const std::shared_lock lock(m_counters_mutex);
    const auto found = m_counters.find(service);
    if (found == m_counters.end() || slot.value() >= found->second->size()) {
      return nullptr;
    }
    return &(*found->second)[slot.value()];
  }

  // Counters are never removed or resized: a service's slot count is fixed.
  void AddCounters(const BoardView& view) {
    const std::unique_lock lock(m_counters_mutex);
    for (const auto& [id, service] : view.services) {
      if (service.slots != nullptr && !m_counters.contains(id)) {
        m_counters.emplace(
            id, std::make_unique<WorkCounters>(service.slots->slot_count()));
      }
    }
  }

  const Clock* m_clock;
  const std::size_t m_max_waiting_calls;
  const Safeguards m_safeguards;
  std::atomic<std::shared_ptr<const BoardView>> m_view;
  std::atomic<Clock::TimePoint> m_lease_end{Clock::TimePoint::min()};
  mutable std::shared_mutex m_counters_mutex;
  std::map<ServiceId, std::unique_ptr<WorkCounters>> m_counters;
  std::mutex m_calls_mutex;
  std::vector<GuardCall> m_calls;
  std::function<void()> m_wake_up;
};

OwnershipBoard::OwnershipBoard(const Clock& clock,
                               std::size_t max_waiting_calls,
                               const Safeguards& safeguards)
    : m_impl(std::make_unique<Impl>(clock, max_waiting_calls, safeguards)) {}

OwnershipBoard::~OwnershipBoard() = default;

bool OwnershipBoard::IsReady() const {
  return m_impl->View()->ready;
}

std::shared_ptr<const ServiceSettings> OwnershipBoard::FindService(
    const ServiceId& service) const {
  const std::shared_ptr<const BoardView> view = m_impl->View();
  const auto found = view->services.find(service);
  return found == view->services.end() ? nullptr : found->second.settings;
}

std::optional<Route> OwnershipBoard::FindOwner(
    const ServiceId& service,
    std::string_view slot_key) const {
  const std::shared_ptr<const BoardView> view = m_impl->View();
  const auto found = view->services.find(service);
  if (found == view->services.end() || found->second.slots == nullptr) {
    return std::nullopt;
  }
  const SlotTable& slots = *found->second.slots;
  const SlotIndex slot = slots.SlotOf(slot_key);
  const auto ownership = slots.OwnerOf(slot);
  if (!ownership.has_value()) {
    return std::nullopt;
  }
  const auto route = view->routes.find(ownership->owner);
  if (route == view->routes.end()) {
    return std::nullopt;
  }
  Route result = route->second;
  result.slot = slot;
  result.epoch = ownership->epoch;
  return result;
}

std::vector<Route> OwnershipBoard::FindMembers(const ServiceId& service) const {
  const std::shared_ptr<const BoardView> view = m_impl->View();
  const auto found = view->services.find(service);
  return found == view->services.end() ? std::vector<Route>()
                                       : found->second.members;
}

GrantDecision OwnershipBoard::CheckGrant(const ServiceId& service,
                                         SlotIndex slot) const {
  return m_impl->CheckGrant(service, slot);
}

void OwnershipBoard::EndWork(const ServiceId& service, SlotIndex slot) {
  m_impl->EndWork(service, slot);
}

void OwnershipBoard::Register(const ProtectedRequest& request,
                              RegistrationCallback on_registered) {
  GuardCall call{request, GuardCall::Register{std::move(on_registered)}};
  if (!m_impl->AddCall(call, true)) {
    const Registration refusal{RequestErrorCode::kRequestMemoryFull, nullptr};
    std::get<GuardCall::Register>(call.action).on_registered(refusal);
  }
}

void OwnershipBoard::Finish(const ProtectedRequest& request,
                            std::shared_ptr<const StoredAnswer> answer) {
  // Never refused: each belongs to a registration, and those are bounded.
  GuardCall call{request, GuardCall::Finish{std::move(answer)}};
  m_impl->AddCall(call, false);
}

void OwnershipBoard::Withdraw(const ProtectedRequest& request) {
  GuardCall call{request, GuardCall::Withdraw{}};
  m_impl->AddCall(call, false);
}

void OwnershipBoard::SetWakeUp(std::function<void()> wake_up) {
  m_impl->SetWakeUp(std::move(wake_up));
}

void OwnershipBoard::Publish(std::shared_ptr<const BoardView> view) {
  m_impl->Publish(std::move(view));
}

std::shared_ptr<const BoardView> OwnershipBoard::View() const {
  return m_impl->View();
}

void OwnershipBoard::PublishLease(Clock::TimePoint end) {
  m_impl->PublishLease(end);
}

std::vector<GuardCall> OwnershipBoard::TakeCalls() {
  return m_impl->TakeCalls();
}

std::uint32_t OwnershipBoard::WorkInFlight(const ServiceId& service,
                                           SlotIndex slot) const {
  return m_impl->WorkInFlight(service, slot);
}

}  // namespace citrongrade
