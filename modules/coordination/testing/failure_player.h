#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "modules/coordination/clock.h"

namespace citrongrade {

class SimulatedMesh;
class SimulatedNode;

// Plays failures in a simulated mesh, drawn from the mesh's own seed.
class FailurePlayer {
 public:
  enum class Failure : std::uint8_t {
    kKillAndRestart,
    kKillAndReplaceHost,
    kPause,
    kPartitionNode,
    kPartitionZone,
    kOneWayCut,
    kSilentConnection,
    kUnreliableNetwork,
    kSaturatedNetwork,
    kLogOutage,
    kLogSlow,
    kLogUncertain,
    kLogCutForNode,
    kRetentionPassed,
    kTargetFrozen,
    kTargetCrashed,
    kDrain,
    kColdStart,
    kClockJump,
    kTwoOperators,
    kRollingRestart,
    kZoneLoss,
    kWitnessMajorityLost,
    kWholeMeshRestart,
    // A holder loses the log and one witness; another witness may restart.
    kHolderHalfCutOff,
  };
  static constexpr std::size_t kFailureCount = 25;

  // The mesh outlives the player.
  explicit FailurePlayer(SimulatedMesh& mesh) : m_mesh(&mesh) {}

  static std::string NameOf(Failure failure);

  // Starts the failure now; it ends by itself or by HealAndCheck().
  void Play(Failure failure);

 private:
  SimulatedNode* PickOwner();
  void PartitionNode(std::size_t number);
  void PartitionZone();
  void CutOneWay();
  void CutPair();
  void Drain();
  void ColdStart();
  void RestartInTurn(std::size_t number);
  void LoseZone();
  void LoseWitnesses();
  void RestartAll();
  void CutHolderHalfOff();
  void KillFor(SimulatedNode& node, Clock::Duration downtime);
  Clock::Duration Downtime();
  void HealNetworkLater();

  SimulatedMesh* m_mesh;
};

}  // namespace citrongrade
