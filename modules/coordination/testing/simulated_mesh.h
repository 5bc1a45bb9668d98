#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/safeguards.h"
#include "modules/coordination/testing/event_queue.h"
#include "modules/coordination/testing/fake_peer_network.h"
#include "modules/coordination/testing/fake_platform_log.h"
#include "modules/coordination/testing/fake_random.h"
#include "modules/coordination/testing/fake_settings_resolver.h"
#include "modules/coordination/testing/fake_snapshot_codec.h"
#include "modules/coordination/testing/simulated_callers.h"
#include "modules/coordination/testing/simulated_node.h"
#include "modules/coordination/testing/violation.h"
#include "modules/state/accept_all_config.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

// Several real NodeCoordinators on fakes, in virtual time and from one seed,
// with callers, and with checks after each input that could break a promise.
// It plays no failure of its own accord: FailurePlayer does.
class SimulatedMesh {
 public:
  struct Shape {
    std::size_t nodes = 5;
    std::size_t zones = 3;
    std::uint32_t slots = 8;
    // The last node's target belongs to a second service.
    bool two_services = false;
    bool targets_check_grants = true;
  };

  SimulatedMesh(std::uint64_t seed,
                const Shape& shape,
                const CoordinatorSettings& settings = TestSettings(),
                const Safeguards& safeguards = {});

  // Retention and snapshots of a test's length, and the defaults otherwise.
  static CoordinatorSettings TestSettings();

  // Starts all nodes and waits until every slot is served; false after 8 s.
  bool Boot();
  void RunFor(Clock::Duration duration);
  // Runs until every slot is served, at most for `patience`.
  bool RunUntilServed(Clock::Duration patience);
  bool IsEverySlotServed();

  // Ends all failures, starts what is not running, and has an operator forget
  // members whose process is gone for good. Then checks that all is well again.
  void HealAndCheck();

  // An operator declares the member gone for good, rightly or not.
  void Forget(const MemberId& member);
  // Two operators publish on the same base; the log decides.
  void PublishByTwoOperators();

  std::size_t size() const { return m_nodes.size(); }
  SimulatedNode& node(std::size_t number) { return *m_nodes[number]; }
  SimulatedNode* FindNode(const NodeId& id);
  SimulatedNode* RandomActiveNode();
  ServiceId RandomService();
  SlotIndex RandomSlot();

  EventQueue& events() { return m_events; }
  FakeRandom& random() { return m_random; }
  FakePlatformLog& log() { return m_log; }
  FakePeerNetwork& network() { return m_network; }
  SimulatedCallers& callers() { return m_callers; }
  // The log as the rules read it.
  const MeshState& reference() const { return m_reference; }
  const std::vector<Violation>& violations() const { return m_violations; }
  // Slots that changed owner by any record, after the first assignment.
  std::uint64_t moved_slots() const { return m_moved_slots; }

 private:
  void OnEntry(const LogEntry& entry);
  void CheckOwners(SimulatedNode& node);
  void CheckConfig(SimulatedNode& node);
  bool HaveAllCaughtUp() const;
  void CheckStates();
  void ForgetLostMembers();
  bool IsAlive(const MemberId& member);
  void AppendAsOperator(const Record& record);
  std::optional<std::size_t> FindServingNode(const ServiceId& service,
                                             SlotIndex slot);
  void CountMoves(const SlotTable& before, const SlotTable& after);

  EventQueue m_events;
  FakeRandom m_random;
  const Shape m_shape;
  const CoordinatorSettings m_settings;
  const Safeguards m_safeguards;
  FakePlatformLog m_log;
  FakePeerNetwork m_network;
  FakeSettingsResolver m_settings_resolver;
  FakeSnapshotCodec m_snapshot_codec;
  AcceptAllConfig m_config_validator;
  MeshState m_reference;
  std::vector<Violation> m_violations;
  SimulatedCallers m_callers;
  std::vector<std::unique_ptr<SimulatedNode>> m_nodes;
  std::map<std::uint64_t, ConfigVersion> m_config_seen;
  std::uint64_t m_next_record = 1;
  std::uint64_t m_moved_slots = 0;
};

}  // namespace citrongrade
