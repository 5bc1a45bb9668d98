#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/log_writer.h"
#include "modules/coordination/manual_clock.h"
#include "modules/coordination/node_coordinator.h"
#include "modules/coordination/ownership_board.h"
#include "modules/coordination/peer_sender.h"
#include "modules/coordination/safeguards.h"
#include "modules/coordination/testing/fake_target.h"
#include "modules/state/accept_all_config.h"

namespace citrongrade {

class EventQueue;
class FakePeerNetwork;
class FakePlatformLog;
class FakeRandom;
class FakeSettingsResolver;
class FakeSnapshotCodec;

// One host of a simulated mesh: a real NodeCoordinator with its board, on a
// clock of its own, beside a target. The process can be killed, restarted in
// place or on a new boot, paused and resumed.
class SimulatedNode final : public NodeCoordinator::Listener,
                            private LogWriter,
                            private PeerSender {
 public:
  // What all nodes of a mesh share; all outlive the node.
  struct Surroundings {
    EventQueue& events;
    FakeRandom& random;
    FakePlatformLog& log;
    FakePeerNetwork& network;
    const FakeSettingsResolver& settings_resolver;
    const FakeSnapshotCodec& snapshot_codec;
    const CoordinatorSettings& settings;
    const Safeguards& safeguards;
  };

  SimulatedNode(const Surroundings& surroundings,
                std::size_t number,
                const ServiceId& service,
                const AvailabilityZone& zone,
                bool target_checks_grants,
                FakeTarget::OnRun on_run);

  void Start();
  void Kill();
  // The next Start() is on another boot of the host.
  void ReplaceHost() { ++m_boot; }
  void Pause() { m_paused = true; }
  void Resume();
  void JumpClock(Clock::Duration step);
  void Drain();

  bool IsRunning() const { return m_coordinator != nullptr; }
  bool IsPaused() const { return m_paused; }
  bool IsActive() const { return IsRunning() && !m_paused; }
  // It drained and left for good.
  bool HasLeft() const { return m_left; }
  // Counts processes; work of an earlier one is void.
  std::uint64_t generation() const { return m_generation; }
  std::size_t number() const { return m_number; }
  const ServiceId& service() const { return m_announcement.service; }
  const AvailabilityZone& zone() const {
    return m_announcement.availability_zone;
  }
  OwnershipBoard& board() { return *m_board; }
  const NodeCoordinator& coordinator() const { return *m_coordinator; }
  FakeTarget& target() { return m_target; }

  // The slot's work may be given to the target now.
  bool IsGranted(SlotIndex slot);

  // Runs in this process, after `delay`; waits while it is paused, and is
  // dropped when the process ends.
  void RunInProcess(Clock::Duration delay, std::function<void()> action);

  void Deliver(const PeerMessage& message);
  void ReadLog();

  static std::string PeerAddress(std::size_t number);
  // Inverse of PeerAddress().
  static std::size_t NumberOf(const std::string& peer_address);

  // Called after inputs that may have made the node an owner.
  void SetOnInput(std::function<void(SimulatedNode&)> on_input) {
    m_on_input = std::move(on_input);
  }

 private:
  // NodeCoordinator::Listener:
  void OnMembershipLost(MembershipLoss reason) override;
  // LogWriter:
  void Append(const RecordId& id, const Record& record) override;
  // PeerSender:
  void Send(const std::string& peer_address,
            const PeerMessage& message) override;

  void SetClock();
  void TickLater();
  void ReadLater();

  const Surroundings m_surroundings;
  const std::size_t m_number;
  JoinRecord m_announcement;
  FakeTarget m_target;
  AcceptAllConfig m_config_validator;
  ManualClock m_clock;
  Clock::Duration m_clock_lead{0};
  std::unique_ptr<OwnershipBoard> m_board;
  std::unique_ptr<NodeCoordinator> m_coordinator;
  std::function<void(SimulatedNode&)> m_on_input;
  std::deque<std::function<void()>> m_held;
  std::uint64_t m_generation = 0;
  std::uint64_t m_boot = 1;
  bool m_paused = false;
  bool m_left = false;
};

}  // namespace citrongrade
