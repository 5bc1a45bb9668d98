#include "modules/coordination/testing/failure_player.h"

#include <array>

#include "modules/coordination/testing/simulated_mesh.h"

namespace citrongrade {

using std::chrono::milliseconds;

namespace {

constexpr std::array<const char*, FailurePlayer::kFailureCount> kActivityNames =
    {"kill-and-restart",
     "kill-and-replace-host",
     "pause",
     "partition-node",
     "partition-zone",
     "one-way-cut",
     "silent-connection",
     "unreliable-network",
     "saturated-network",
     "log-outage",
     "log-slow",
     "log-uncertain",
     "log-cut-for-node",
     "retention-passed",
     "target-frozen",
     "target-crashed",
     "drain",
     "cold-start",
     "clock-jump",
     "two-operators",
     "rolling-restart",
     "zone-loss",
     "witnesses-lost",
     "whole-mesh-restart",
     "holder-half-cut-off"};

}  // namespace

std::string FailurePlayer::NameOf(Failure failure) {
  return kActivityNames[static_cast<std::size_t>(failure)];
}

void FailurePlayer::Play(Failure failure) {
  SimulatedNode* node = PickOwner();
  if (node == nullptr) {
    return;
  }
  EventQueue& events = m_mesh->events();
  FakePlatformLog& log = m_mesh->log();
  switch (failure) {
    case Failure::kKillAndRestart:
      KillFor(*node, Downtime());
      break;
    case Failure::kKillAndReplaceHost:
      node->ReplaceHost();
      KillFor(*node, Downtime());
      break;
    case Failure::kPause:
      node->Pause();
      events.Schedule(
          m_mesh->random().Between(milliseconds(200), milliseconds(4000)),
          [node] { node->Resume(); });
      break;
    case Failure::kPartitionNode:
      PartitionNode(node->number());
      HealNetworkLater();
      break;
    case Failure::kPartitionZone:
      PartitionZone();
      HealNetworkLater();
      break;
    case Failure::kOneWayCut:
      CutOneWay();
      HealNetworkLater();
      break;
    case Failure::kSilentConnection:
      CutPair();
      HealNetworkLater();
      break;
    case Failure::kUnreliableNetwork:
      m_mesh->network().SetUnreliable(true);
      break;
    case Failure::kSaturatedNetwork:
      m_mesh->network().SetSaturated(true);
      break;
    case Failure::kLogOutage:
      log.SetOutage(true);
      events.Schedule(Downtime(), [&log] { log.SetOutage(false); });
      break;
    case Failure::kLogSlow:
      log.SetSlow(true);
      break;
    case Failure::kLogUncertain:
      log.SetUncertain(true);
      break;
    case Failure::kLogCutForNode:
      log.SetCut(node->number(), true);
      events.Schedule(Downtime(),
                      [&log, node] { log.SetCut(node->number(), false); });
      break;
    case Failure::kRetentionPassed:
      log.SetCut(node->number(), true);
      events.Schedule(Downtime(), [&log, node] {
        log.PassRetention();
        log.SetCut(node->number(), false);
      });
      break;
    case Failure::kTargetFrozen:
      node->target().Freeze();
      events.Schedule(Downtime(), [node] { node->target().Return(); });
      break;
    case Failure::kTargetCrashed:
      node->target().Freeze();
      events.Schedule(milliseconds(300), [node] { node->target().Crash(); });
      break;
    case Failure::kDrain:
      Drain();
      break;
    case Failure::kColdStart:
      ColdStart();
      break;
    case Failure::kClockJump:
      node->JumpClock(
          m_mesh->random().Between(milliseconds(100), milliseconds(4000)));
      break;
    case Failure::kTwoOperators:
      m_mesh->PublishByTwoOperators();
      break;
    case Failure::kRollingRestart:
      RestartInTurn(0);
      break;
    case Failure::kZoneLoss:
      LoseZone();
      break;
    case Failure::kWitnessMajorityLost:
      LoseWitnesses();
      break;
    case Failure::kWholeMeshRestart:
      RestartAll();
      break;
    case Failure::kHolderHalfCutOff:
      CutHolderHalfOff();
      HealNetworkLater();
      break;
  }
}

SimulatedNode* FailurePlayer::PickOwner() {
  return m_mesh->RandomActiveNode();
}

void FailurePlayer::PartitionNode(std::size_t number) {
  for (std::size_t i = 0; i < m_mesh->size(); ++i) {
    m_mesh->network().Cut(i, number);
    m_mesh->network().Cut(number, i);
  }
  if (m_mesh->random().Chance(50)) {
    m_mesh->log().SetCut(number, true);
    m_mesh->events().Schedule(
        Downtime(), [this, number] { m_mesh->log().SetCut(number, false); });
  }
}

void FailurePlayer::PartitionZone() {
  const AvailabilityZone zone =
      m_mesh->node(m_mesh->random().Below(m_mesh->size())).zone();
  for (std::size_t i = 0; i < m_mesh->size(); ++i) {
    for (std::size_t j = 0; j < m_mesh->size(); ++j) {
      if ((m_mesh->node(i).zone() == zone) !=
          (m_mesh->node(j).zone() == zone)) {
        m_mesh->network().Cut(i, j);
      }
    }
  }
}

void FailurePlayer::CutOneWay() {
  const std::size_t number = m_mesh->random().Below(m_mesh->size());
  const bool hears_nobody = m_mesh->random().Chance(50);
  for (std::size_t i = 0; i < m_mesh->size(); ++i) {
    if (hears_nobody) {
      m_mesh->network().Cut(i, number);
    } else {
      m_mesh->network().Cut(number, i);
    }
  }
}

void FailurePlayer::CutPair() {
  const std::size_t one = m_mesh->random().Below(m_mesh->size());
  const std::size_t other = m_mesh->random().Below(m_mesh->size());
  m_mesh->network().Cut(one, other);
  m_mesh->network().Cut(other, one);
}

void FailurePlayer::Drain() {
  std::size_t active = 0;
  for (std::size_t i = 0; i < m_mesh->size(); ++i) {
    active += m_mesh->node(i).IsActive() ? 1 : 0;
  }
  // Somebody has to stay, and the second service has one node.
  SimulatedNode& first = m_mesh->node(0);
  if (active >= 3 && first.IsActive()) {
    first.Drain();
  }
}

void FailurePlayer::ColdStart() {
  // Away for long enough to lose its slots, then back as a joiner.
  SimulatedNode* node = PickOwner();
  if (node != nullptr) {
    node->ReplaceHost();
    KillFor(*node, milliseconds(1600));
  }
}

void FailurePlayer::RestartInTurn(std::size_t number) {
  if (number >= m_mesh->size()) {
    return;
  }
  SimulatedNode& node = m_mesh->node(number);
  if (node.IsRunning()) {
    KillFor(node, milliseconds(300));
  }
  m_mesh->events().Schedule(milliseconds(700),
                            [this, number] { RestartInTurn(number + 1); });
}

void FailurePlayer::LoseZone() {
  const AvailabilityZone zone =
      m_mesh->node(m_mesh->random().Below(m_mesh->size())).zone();
  for (std::size_t i = 0; i < m_mesh->size(); ++i) {
    if (m_mesh->node(i).zone() == zone) {
      KillFor(m_mesh->node(i), milliseconds(4000));
    }
  }
}

void FailurePlayer::LoseWitnesses() {
  SimulatedNode* holder = PickOwner();
  if (holder == nullptr || !holder->IsRunning()) {
    return;
  }
  const auto witnesses = holder->coordinator().Dump().witnesses;
  const std::size_t majority = witnesses.size() / 2 + 1;
  const bool replaces = m_mesh->random().Chance(50);
  for (std::size_t i = 0; i < majority && i < witnesses.size(); ++i) {
    SimulatedNode* witness = m_mesh->FindNode(witnesses[i].member.node);
    if (replaces) {
      witness->ReplaceHost();
    }
    KillFor(*witness, Downtime());
  }
}

void FailurePlayer::RestartAll() {
  const bool replaces = m_mesh->random().Chance(30);
  for (std::size_t i = 0; i < m_mesh->size(); ++i) {
    if (replaces) {
      m_mesh->node(i).ReplaceHost();
    }
    KillFor(m_mesh->node(i), Downtime());
  }
}

void FailurePlayer::CutHolderHalfOff() {
  SimulatedNode* holder = PickOwner();
  const auto witnesses = holder->coordinator().Dump().witnesses;
  if (witnesses.size() < 2) {
    return;
  }
  FakePlatformLog& log = m_mesh->log();
  const std::size_t number = holder->number();
  log.SetCut(number, true);
  m_mesh->events().Schedule(milliseconds(3000),
                            [&log, number] { log.SetCut(number, false); });
  const SimulatedNode* lost = m_mesh->FindNode(witnesses[0].member.node);
  m_mesh->network().Cut(number, lost->number());
  m_mesh->network().Cut(lost->number(), number);
  SimulatedNode* restarted = m_mesh->FindNode(witnesses[1].member.node);
  if (m_mesh->random().Chance(50)) {
    m_mesh->events().Schedule(
        m_mesh->random().Between(milliseconds(700), milliseconds(1400)),
        [this, restarted] { KillFor(*restarted, milliseconds(100)); });
  }
}

void FailurePlayer::KillFor(SimulatedNode& node, Clock::Duration downtime) {
  node.Kill();
  m_mesh->events().Schedule(downtime, [&node] { node.Start(); });
}

Clock::Duration FailurePlayer::Downtime() {
  return m_mesh->random().Between(milliseconds(100), milliseconds(3500));
}

void FailurePlayer::HealNetworkLater() {
  m_mesh->events().Schedule(Downtime(), [this] { m_mesh->network().Heal(); });
}

}  // namespace citrongrade
