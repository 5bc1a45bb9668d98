#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "modules/coordination/board_view.h"
#include "modules/coordination/clock.h"
#include "modules/coordination/guard_call.h"
#include "modules/coordination/request_guard.h"
#include "modules/coordination/routing_table.h"
#include "modules/coordination/safeguards.h"

namespace citrongrade {

// Where the coordinator's thread publishes what this node may serve, and where
// request threads read it. RoutingTable and RequestGuard in one; thread-safe.
//
// Readers share an immutable view; the lease's end stands beside it, since it
// changes with every renewal. Calls that change the memory of request ids wait
// in a bounded queue for the coordinator's thread.
class OwnershipBoard final : public RoutingTable, public RequestGuard {
 public:
  // The clock outlives the board.
  explicit OwnershipBoard(const Clock& clock,
                          std::size_t max_waiting_calls = 65'536,
                          const Safeguards& safeguards = {});
  ~OwnershipBoard() override;

  // RoutingTable:
  bool IsReady() const override;
  std::shared_ptr<const ServiceSettings> FindService(
      const ServiceId& service) const override;
  std::optional<Route> FindOwner(const ServiceId& service,
                                 std::string_view slot_key) const override;
  std::vector<Route> FindMembers(const ServiceId& service) const override;

  // RequestGuard:
  GrantDecision CheckGrant(const ServiceId& service,
                           SlotIndex slot) const override;
  void EndWork(const ServiceId& service, SlotIndex slot) override;
  void Register(const ProtectedRequest& request,
                RegistrationCallback on_registered) override;
  void Finish(const ProtectedRequest& request,
              std::shared_ptr<const StoredAnswer> answer) override;
  void Withdraw(const ProtectedRequest& request) override;

  // Called, on the caller's thread, when a call starts to wait: wakes the
  // coordinator's thread. Set before any other thread uses the board.
  void SetWakeUp(std::function<void()> wake_up);

  // For the coordinator's thread alone:
  void Publish(std::shared_ptr<const BoardView> view);
  std::shared_ptr<const BoardView> View() const;
  // The lease runs until `end`; TimePoint::min() for none.
  void PublishLease(Clock::TimePoint end);
  std::vector<GuardCall> TakeCalls();
  // Granted CheckGrant calls of the slot whose EndWork is still to come.
  std::uint32_t WorkInFlight(const ServiceId& service, SlotIndex slot) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
