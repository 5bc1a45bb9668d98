#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "modules/coordination/coordinator_dump.h"
#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/membership_loss.h"
#include "modules/coordination/messages/peer_message.h"
#include "modules/coordination/node_coordinator.h"
#include "modules/state/records/join_record.h"
#include "modules/transport/bounded_ring.h"
#include "modules/transport/log_reader_thread.h"

namespace citrongrade {

// The thread that runs this node's NodeCoordinator. It takes what the log
// reader, the peers and the request threads bring through one bounded ring, and
// makes a new coordinator, which joins anew, when a membership has ended.
//
// The node is a member while its target serves: Join begins a membership,
// Leave hands its slots to others and ends it.
class CoordinatorThread final : public LogReaderThread::Listener {
 public:
  // All outlive the thread; the board's wake-up is set here.
  struct Dependencies {
    const Clock& clock;
    LogWriter& log_writer;
    PeerSender& peer_sender;
    const ConfigValidator& config_validator;
    const ServiceSettingsResolver& settings_resolver;
    const SnapshotCodec& snapshot_codec;
    OwnershipBoard& board;
  };

  CoordinatorThread(const Dependencies& dependencies,
                    const CoordinatorSettings& settings);
  ~CoordinatorThread() override;
  CoordinatorThread(const CoordinatorThread&) = delete;
  CoordinatorThread& operator=(const CoordinatorThread&) = delete;

  // Any thread. Does nothing while a membership runs.
  void Join(const JoinRecord& announcement);
  void Leave();
  bool is_member() const { return m_is_member; }
  // Another process took this node's id: this one has to end.
  bool is_superseded() const { return m_is_superseded; }

  // Drops the message when the ring is full, as a message may be lost.
  void Deliver(const PeerMessage& message);
  void OnAppendFailed(const RecordId& id);
  // Nothing while there is no membership.
  std::optional<CoordinatorDump> Dump();

  // LogReaderThread::Listener:
  bool IsFollowing() override { return m_is_member; }
  LogOffset NextReadOffset() override;
  bool WantsLogEnd() override;
  void OnLogEnd(LogOffset next_offset) override;
  void OnLogEntries(std::vector<LogEntry> entries) override;
  void OnLogGap(LogOffset first_kept) override;
  void OnLogUnavailable() override;

 private:
  class MembershipListener;
  // Runs on the thread; not called when there is no membership.
  using Input = std::function<void(NodeCoordinator&)>;

  void Main();
  void PublishPosition();
  void EndMembership(MembershipLoss reason);
  // Runs the input on the thread and returns after it.
  void RunAndWait(const Input& input);
  void BeginMembership(const JoinRecord& announcement);

  const Dependencies m_dependencies;
  const CoordinatorSettings m_settings;
  BoundedRing<std::function<void()>> m_ring;
  std::unique_ptr<MembershipListener> m_listener;
  std::unique_ptr<NodeCoordinator> m_coordinator;
  std::optional<MembershipLoss> m_loss;
  JoinRecord m_announcement;
  std::atomic<bool> m_is_member = false;
  std::atomic<bool> m_is_superseded = false;
  std::atomic<bool> m_wants_log_end = false;
  std::atomic<std::uint64_t> m_next_offset = 0;
  std::thread m_thread;
};

}  // namespace citrongrade
