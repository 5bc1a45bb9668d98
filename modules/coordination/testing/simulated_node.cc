#include "modules/coordination/testing/simulated_node.h"

#include <utility>

#include "modules/coordination/messages/peer_message.h"
#include "modules/coordination/testing/event_queue.h"
#include "modules/coordination/testing/fake_peer_network.h"
#include "modules/coordination/testing/fake_platform_log.h"
#include "modules/coordination/testing/fake_random.h"
#include "modules/coordination/testing/fake_settings_resolver.h"
#include "modules/coordination/testing/fake_snapshot_codec.h"

namespace citrongrade {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTickInterval{20};
constexpr milliseconds kPollInterval{100};
constexpr std::size_t kEntriesPerRead = 64;
constexpr milliseconds kProcessStart{300};

JoinRecord MakeAnnouncement(std::size_t number,
                            const ServiceId& service,
                            const AvailabilityZone& zone,
                            bool checks_grants) {
  JoinRecord record;
  record.node = NodeId("node-" + std::to_string(number));
  record.availability_zone = zone;
  record.peer_address = SimulatedNode::PeerAddress(number);
  record.data_address = record.peer_address;
  record.service = service;
  record.target_slots = 10;
  record.target_connections = 100;
  record.target_checks_grants = checks_grants;
  return record;
}

}  // namespace

SimulatedNode::SimulatedNode(const Surroundings& surroundings,
                             std::size_t number,
                             const ServiceId& service,
                             const AvailabilityZone& zone,
                             bool target_checks_grants,
                             FakeTarget::OnRun on_run)
    : m_surroundings(surroundings),
      m_number(number),
      m_announcement(
          MakeAnnouncement(number, service, zone, target_checks_grants)),
      m_target(target_checks_grants, std::move(on_run)) {}

void SimulatedNode::Start() {
  if (IsRunning() || m_left) {
    return;
  }
  ++m_generation;
  m_paused = false;
  SetClock();
  m_announcement.boot_id =
      "boot-" + std::to_string(m_number) + "-" + std::to_string(m_boot);
  m_board = std::make_unique<OwnershipBoard>(m_clock, 1000,
                                             m_surroundings.safeguards);
  m_coordinator = std::make_unique<NodeCoordinator>(
      NodeCoordinator::Dependencies{m_clock, *this, *this, m_config_validator,
                                    m_surroundings.settings_resolver,
                                    m_surroundings.snapshot_codec, *m_board,
                                    *this},
      m_announcement, m_surroundings.settings, m_surroundings.random.Next(),
      m_surroundings.safeguards);
  m_board->SetWakeUp([this] {
    RunInProcess(microseconds(100), [this] { m_coordinator->Tick(); });
  });
  TickLater();
  ReadLater();
}

void SimulatedNode::Kill() {
  m_held.clear();
  m_coordinator.reset();
  m_board.reset();
  ++m_generation;
  m_paused = false;
}

void SimulatedNode::Resume() {
  if (!m_paused) {
    return;
  }
  m_paused = false;
  // What waited goes on in the order in which it came: a request between its
  // last wait and its dispatch may well be first.
  while (!m_held.empty() && IsActive()) {
    const std::function<void()> action = std::move(m_held.front());
    m_held.pop_front();
    SetClock();
    action();
    if (IsActive() && m_on_input) {
      m_on_input(*this);
    }
  }
}

void SimulatedNode::JumpClock(Clock::Duration step) {
  m_clock_lead += step;
}

void SimulatedNode::Drain() {
  RunInProcess(microseconds(0), [this] { m_coordinator->RequestDrain(); });
}

bool SimulatedNode::IsGranted(SlotIndex slot) {
  if (!IsActive()) {
    return false;
  }
  SetClock();
  const bool granted = m_board->CheckGrant(service(), slot).granted();
  if (granted) {
    m_board->EndWork(service(), slot);
  }
  return granted;
}

void SimulatedNode::RunInProcess(Clock::Duration delay,
                                 std::function<void()> action) {
  const std::uint64_t generation = m_generation;
  m_surroundings.events.Schedule(
      delay, [this, generation, action = std::move(action)]() mutable {
        if (generation != m_generation || !IsRunning()) {
          return;
        }
        if (m_paused) {
          m_held.push_back(std::move(action));
          return;
        }
        SetClock();
        action();
      });
}

void SimulatedNode::Deliver(const PeerMessage& message) {
  if (!IsRunning()) {
    return;
  }
  const auto deliver = [this, message] {
    m_coordinator->OnPeerMessage(message);
    if (m_on_input && IsActive() &&
        std::holds_alternative<LeaseReply>(message.content)) {
      m_on_input(*this);
    }
  };
  if (m_paused) {
    m_held.emplace_back(deliver);
    return;
  }
  SetClock();
  deliver();
}

void SimulatedNode::ReadLog() {
  FakePlatformLog& log = m_surroundings.log;
  if (!log.IsReachable(m_number)) {
    m_coordinator->OnLogUnavailable();
    return;
  }
  if (m_coordinator->NextReadOffset() < log.First()) {
    m_coordinator->OnLogGap(log.First());
  }
  const std::vector<LogEntry> entries =
      log.Read(m_coordinator->NextReadOffset(), kEntriesPerRead);
  m_coordinator->OnLogEntries(entries);
  if (entries.size() == kEntriesPerRead) {
    RunInProcess(milliseconds(1), [this] { ReadLog(); });
  }
  m_coordinator->OnLogEnd(log.Next());
  if (m_on_input && !entries.empty() && IsActive()) {
    m_on_input(*this);
  }
}

std::string SimulatedNode::PeerAddress(std::size_t number) {
  return "10.0.0." + std::to_string(number) + ":1";
}

std::size_t SimulatedNode::NumberOf(const std::string& peer_address) {
  static const std::string kPrefix = "10.0.0.";
  return std::stoul(peer_address.substr(kPrefix.size()));
}

void SimulatedNode::OnMembershipLost(MembershipLoss reason) {
  // As a process that ends and is started again by its supervisor.
  RunInProcess(microseconds(0), [this, reason] {
    m_left = reason == MembershipLoss::kLeft;
    Kill();
    m_surroundings.events.Schedule(kProcessStart, [this] { Start(); });
  });
}

void SimulatedNode::Append(const RecordId& id, const Record& record) {
  const std::uint64_t generation = m_generation;
  m_surroundings.log.Append(m_number, id, record, [this, generation, id] {
    if (generation == m_generation) {
      RunInProcess(microseconds(0),
                   [this, id] { m_coordinator->OnAppendFailed(id); });
    }
  });
}

void SimulatedNode::Send(const std::string& peer_address,
                         const PeerMessage& message) {
  m_surroundings.network.Send(m_number, NumberOf(peer_address), message);
}

void SimulatedNode::SetClock() {
  const Clock::TimePoint now = m_surroundings.events.Now() + m_clock_lead;
  if (now > m_clock.Now()) {
    m_clock.Advance(now - m_clock.Now());
  }
}

void SimulatedNode::TickLater() {
  RunInProcess(kTickInterval, [this] {
    m_coordinator->Tick();
    TickLater();
  });
}

void SimulatedNode::ReadLater() {
  RunInProcess(kPollInterval, [this] {
    ReadLog();
    ReadLater();
  });
}

}  // namespace citrongrade
