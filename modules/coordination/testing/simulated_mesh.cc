#include "modules/coordination/testing/simulated_mesh.h"

#include <algorithm>
#include <string>
#include <utility>

namespace citrongrade {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kOperator = 1000;
constexpr milliseconds kCheckInterval{50};
constexpr seconds kBootPatience{8};
// An operator looks after so long.
constexpr seconds kForgetAfter{4};
constexpr seconds kHealPatience{20};
constexpr int kMaxCatchUps = 40;

ServiceId MakeService(const char* name) {
  return {WorkspaceName("mesh"), ServiceName(name)};
}

}  // namespace

CoordinatorSettings SimulatedMesh::TestSettings() {
  CoordinatorSettings settings;
  settings.settling = milliseconds(300);
  settings.records_per_snapshot = 15;
  settings.snapshot_chunk_bytes = 64;
  settings.ids_per_message = 40;
  return settings;
}

SimulatedMesh::SimulatedMesh(std::uint64_t seed,
                             const Shape& shape,
                             const CoordinatorSettings& settings,
                             const Safeguards& safeguards)
    : m_random(seed),
      m_shape(shape),
      m_settings(settings),
      m_safeguards(safeguards),
      m_log(m_events, m_random),
      m_network(m_events, m_random),
      m_settings_resolver(shape.slots),
      m_reference(m_config_validator),
      m_callers(*this, m_events, m_random, [this](Violation violation) {
        m_violations.push_back(std::move(violation));
      }) {
  m_log.SetOnEntry([this](const LogEntry& entry) { OnEntry(entry); });
  m_network.SetOnDelivery(
      [this](std::size_t receiver, const PeerMessage& message) {
        m_nodes[receiver]->Deliver(message);
      });
  for (std::size_t i = 0; i < shape.nodes; ++i) {
    const bool in_second = shape.two_services && i + 1 == shape.nodes;
    m_nodes.push_back(std::make_unique<SimulatedNode>(
        SimulatedNode::Surroundings{m_events, m_random, m_log, m_network,
                                    m_settings_resolver, m_snapshot_codec,
                                    m_settings, m_safeguards},
        i, MakeService(in_second ? "beta" : "alpha"),
        AvailabilityZone("zone-" + std::to_string(i % shape.zones)),
        shape.targets_check_grants,
        [this](const RequestIdHash& id, std::uint32_t attempt) {
          m_callers.OnRun(id, attempt);
        }));
    m_nodes.back()->SetOnInput([this](SimulatedNode& node) {
      CheckOwners(node);
      CheckConfig(node);
    });
  }
}

bool SimulatedMesh::Boot() {
  AppendAsOperator(
      ConfigRecord{ConfigKind::kService, "mesh/alpha", {}, "{}", "operator"});
  if (m_shape.two_services) {
    AppendAsOperator(
        ConfigRecord{ConfigKind::kService, "mesh/beta", {}, "{}", "operator"});
  }
  for (const auto& node : m_nodes) {
    m_events.Schedule(m_random.Between(milliseconds(0), milliseconds(100)),
                      [&node] { node->Start(); });
  }
  return RunUntilServed(kBootPatience);
}

void SimulatedMesh::RunFor(Clock::Duration duration) {
  const Clock::TimePoint end = m_events.Now() + duration;
  while (m_events.Now() < end) {
    m_events.RunUntil(std::min(end, m_events.Now() + kCheckInterval));
    for (const auto& node : m_nodes) {
      CheckOwners(*node);
    }
  }
}

bool SimulatedMesh::RunUntilServed(Clock::Duration patience) {
  const Clock::TimePoint end = m_events.Now() + patience;
  while (!IsEverySlotServed()) {
    if (m_events.Now() >= end) {
      return false;
    }
    RunFor(kCheckInterval);
  }
  return true;
}

bool SimulatedMesh::IsEverySlotServed() {
  std::vector<ServiceId> services = {MakeService("alpha")};
  if (m_shape.two_services) {
    services.push_back(MakeService("beta"));
  }
  for (const ServiceId& service : services) {
    for (std::uint32_t slot = 0; slot < m_shape.slots; ++slot) {
      if (!FindServingNode(service, SlotIndex(slot)).has_value()) {
        return false;
      }
    }
  }
  return true;
}

void SimulatedMesh::HealAndCheck() {
  m_log.Heal();
  m_network.Heal();
  for (const auto& node : m_nodes) {
    node->Resume();
    node->target().Return();
    node->Start();
  }
  const Clock::TimePoint forget_at = m_events.Now() + kForgetAfter;
  const Clock::TimePoint end = m_events.Now() + kHealPatience;
  bool served = false;
  while (!served && m_events.Now() < end) {
    served = RunUntilServed(milliseconds(500));
    if (!served && m_events.Now() >= forget_at) {
      ForgetLostMembers();
    }
  }
  if (!served) {
    m_violations.push_back(
        {Violation::Kind::kNotServedAgain, "some slot has no owner"});
  }
  m_callers.Stop();
  RunFor(seconds(1));
  // Records may still land; nobody is compared in the middle of reading.
  for (int i = 0; i < kMaxCatchUps && !HaveAllCaughtUp(); ++i) {
    RunFor(kCheckInterval);
  }
  CheckStates();
}

void SimulatedMesh::ForgetLostMembers() {
  for (const auto& [id, member] : m_reference.members()) {
    if (!IsAlive(id)) {
      Forget(id);
    }
  }
}

void SimulatedMesh::Forget(const MemberId& member) {
  AppendAsOperator(ForgetRecord{member, "operator"});
}

bool SimulatedMesh::IsAlive(const MemberId& member) {
  const SimulatedNode* node = FindNode(member.node);
  return node->IsRunning() && node->coordinator().Dump().identity == member;
}

void SimulatedMesh::PublishByTwoOperators() {
  const ConfigEntry* current =
      m_reference.FindConfig(ConfigKind::kTemplate, "shared");
  const ConfigVersion based_on =
      current == nullptr ? ConfigVersion() : current->version;
  for (const char* name : {"ana", "bia"}) {
    AppendAsOperator(
        ConfigRecord{ConfigKind::kTemplate, "shared", based_on, name, name});
  }
}

SimulatedNode* SimulatedMesh::FindNode(const NodeId& id) {
  static const std::string kPrefix = "node-";
  return m_nodes[std::stoul(id.value().substr(kPrefix.size()))].get();
}

SimulatedNode* SimulatedMesh::RandomActiveNode() {
  const std::size_t first = m_random.Below(m_nodes.size());
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    SimulatedNode& node = *m_nodes[(first + i) % m_nodes.size()];
    if (node.IsActive()) {
      return &node;
    }
  }
  return nullptr;
}

ServiceId SimulatedMesh::RandomService() {
  const bool second = m_shape.two_services && m_random.Chance(20);
  return MakeService(second ? "beta" : "alpha");
}

SlotIndex SimulatedMesh::RandomSlot() {
  return SlotIndex(static_cast<std::uint32_t>(m_random.Below(m_shape.slots)));
}

void SimulatedMesh::OnEntry(const LogEntry& entry) {
  const SlotTable* table = m_reference.FindSlots(MakeService("alpha"));
  const std::optional<SlotTable> before =
      table == nullptr ? std::nullopt : std::optional<SlotTable>(*table);
  m_reference.Apply(entry);
  if (before.has_value()) {
    CountMoves(*before, *m_reference.FindSlots(MakeService("alpha")));
  }
  for (const auto& node : m_nodes) {
    if (node->IsRunning()) {
      node->RunInProcess(m_random.Between(milliseconds(1), milliseconds(5)),
                         [&node] { node->ReadLog(); });
    }
  }
}

void SimulatedMesh::CountMoves(const SlotTable& before,
                               const SlotTable& after) {
  for (std::uint32_t i = 0; i < before.slot_count(); ++i) {
    const auto old_owner = before.OwnerOf(SlotIndex(i));
    const auto new_owner = after.OwnerOf(SlotIndex(i));
    const bool moved = old_owner.has_value() && new_owner.has_value() &&
                       old_owner->owner.node != new_owner->owner.node;
    m_moved_slots += moved ? 1 : 0;
  }
}

void SimulatedMesh::CheckOwners(SimulatedNode& node) {
  for (std::uint32_t i = 0; i < m_shape.slots; ++i) {
    const SlotIndex slot(i);
    if (!node.IsGranted(slot)) {
      continue;
    }
    for (const auto& other : m_nodes) {
      if (other.get() != &node && other->service() == node.service() &&
          other->IsGranted(slot)) {
        m_violations.push_back({Violation::Kind::kTwoOwners,
                                "slot " + std::to_string(i) + " at node-" +
                                    std::to_string(node.number()) +
                                    " and node-" +
                                    std::to_string(other->number())});
      }
    }
  }
}

void SimulatedMesh::CheckConfig(SimulatedNode& node) {
  const ConfigEntry* entry =
      node.coordinator().state().FindConfig(ConfigKind::kTemplate, "shared");
  const ConfigVersion version =
      entry == nullptr ? ConfigVersion() : entry->version;
  // By process: a restarted one reads the log again.
  const std::uint64_t process = node.number() * 1000 + node.generation();
  ConfigVersion& seen = m_config_seen[process];
  if (version < seen) {
    m_violations.push_back({Violation::Kind::kConfigReverted,
                            "node-" + std::to_string(node.number())});
  }
  seen = std::max(seen, version);
}

bool SimulatedMesh::HaveAllCaughtUp() const {
  return std::all_of(m_nodes.begin(), m_nodes.end(), [this](const auto& node) {
    return !node->IsRunning() || node->coordinator().state().next_offset() ==
                                     m_reference.next_offset();
  });
}

void SimulatedMesh::CheckStates() {
  const MeshImage expected = m_reference.Image();
  for (const auto& node : m_nodes) {
    if (!node->IsRunning()) {
      continue;
    }
    if (node->coordinator().state().Image() != expected) {
      m_violations.push_back({Violation::Kind::kStateDiverged,
                              "node-" + std::to_string(node->number())});
    }
  }
}

void SimulatedMesh::AppendAsOperator(const Record& record) {
  m_log.Append(kOperator, RecordId("op-" + std::to_string(m_next_record++)),
               record, [] {});
}

std::optional<std::size_t> SimulatedMesh::FindServingNode(
    const ServiceId& service,
    SlotIndex slot) {
  for (const auto& node : m_nodes) {
    if (node->service() == service && node->IsGranted(slot)) {
      return node->number();
    }
  }
  return std::nullopt;
}

}  // namespace citrongrade
