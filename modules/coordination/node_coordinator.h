#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "modules/coordination/coordinator_dump.h"
#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/membership_loss.h"
#include "modules/coordination/safeguards.h"
#include "modules/state/log_entry.h"
#include "modules/state/records/join_record.h"

namespace citrongrade {

class Clock;
class ConfigValidator;
class LogWriter;
class MeshState;
class OwnershipBoard;
class PeerSender;
class ServiceSettingsResolver;
class SnapshotCodec;
struct PeerMessage;

// One node's part in the mesh: follows the log, joins, keeps its lease and its
// witness set, bears witness for others, takes over, moves and recovers slots,
// and publishes what it may serve to the OwnershipBoard.
//
// Single-threaded and non-blocking: one thread calls all of it. Give it every
// log entry in order from NextReadOffset() on, every peer message, and Tick()
// about every 10 ms and whenever the board has calls waiting. One object lives
// one membership: after OnMembershipLost make a new one, or exit.
//
// It is no transport and knows no socket: PeerSender and LogWriter do.
class NodeCoordinator {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;

    // The node serves nothing any more. Called once, from within an input;
    // the coordinator must not be destroyed inside the call.
    virtual void OnMembershipLost(MembershipLoss reason) = 0;
    // A configuration entry came into force; for logs and metrics.
    virtual void OnConfigChanged() {}
  };

  // All outlive the coordinator. The board may outlive several coordinators.
  struct Dependencies {
    const Clock& clock;
    LogWriter& log_writer;
    PeerSender& peer_sender;
    const ConfigValidator& config_validator;
    const ServiceSettingsResolver& settings_resolver;
    const SnapshotCodec& snapshot_codec;
    OwnershipBoard& board;
    Listener& listener;
  };

  // `random_seed` makes record ids unique: from std::random_device, never
  // repeated by another process.
  NodeCoordinator(const Dependencies& dependencies,
                  const JoinRecord& announcement,
                  const CoordinatorSettings& settings,
                  std::uint64_t random_seed,
                  const Safeguards& safeguards = {});
  ~NodeCoordinator();
  NodeCoordinator(const NodeCoordinator&) = delete;
  NodeCoordinator& operator=(const NodeCoordinator&) = delete;

  // The next offset to read from the log.
  LogOffset NextReadOffset() const;
  // Entries in order; those before NextReadOffset() are ignored. To be called
  // for a read that found none as well: it shows that the log answers.
  void OnLogEntries(const std::vector<LogEntry>& entries);
  // What PlatformLog::NextOffset() returned after this object was made. The
  // node is not ready, and does not join, before it has read so far.
  void OnLogEnd(LogOffset next_offset);
  // NextReadOffset() has passed out of retention; `first_kept` hasn't.
  void OnLogGap(LogOffset first_kept);
  // A read or a NextOffset() call failed; cleared by the next entries or end.
  void OnLogUnavailable();
  // The append surely did not and will not take effect.
  void OnAppendFailed(const RecordId& id);

  void OnPeerMessage(const PeerMessage& message);

  // Lets time pass, and takes the calls that wait on the board.
  void Tick();

  // Hands all slots to others and leaves; ends with MembershipLoss::kLeft.
  void RequestDrain();

  const MeshState& state() const;
  CoordinatorDump Dump() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
