#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "modules/coordination/append_tracker.h"
#include "modules/coordination/clock.h"
#include "modules/coordination/coordinator_settings.h"
#include "modules/coordination/messages/peer_message.h"
#include "modules/coordination/peer_health.h"
#include "modules/coordination/safeguards.h"
#include "modules/state/member_id.h"
#include "modules/state/service_id.h"
#include "modules/state/service_settings.h"

namespace citrongrade {

class MeshState;
class PeerSender;
struct Member;

// What all parts of one coordinator share: the moment of the present input, the
// replayed state, this node's identity, and the ways to the log and to peers.
// Belongs to the coordinator's thread.
class MeshContext {
 public:
  using TimePoint = Clock::TimePoint;

  MeshContext(const CoordinatorSettings& settings,
              const Safeguards& safeguards,
              const ServiceId& service,
              PeerSender& peer_sender,
              LogWriter& log_writer,
              std::uint64_t random_seed);

  const CoordinatorSettings& settings() const { return m_settings; }
  const Safeguards& safeguards() const { return m_safeguards; }
  // The service that this node's target announced.
  const ServiceId& service() const { return m_service; }
  AppendTracker& appends() { return m_appends; }
  const AppendTracker& appends() const { return m_appends; }
  PeerHealth& health() { return m_health; }

  // The moment at which the present input began.
  TimePoint now() const { return m_now; }
  void SetNow(TimePoint now) { m_now = now; }

  const MeshState& state() const { return *m_state; }
  void SetState(const MeshState& state) { m_state = &state; }

  // Nothing before this node's join record is read back.
  const std::optional<MemberId>& self() const { return m_self; }
  void SetSelf(const MemberId& self) { m_self = self; }
  // Null before the join and after the membership's end.
  const Member* FindSelf() const;

  bool log_available() const { return m_log_available; }
  void SetLogAvailable(bool available) { m_log_available = available; }

  // Null while no configuration declares this node's service.
  const std::shared_ptr<const ServiceSettings>& service_settings() const {
    return m_service_settings;
  }
  void SetServiceSettings(std::shared_ptr<const ServiceSettings> settings) {
    m_service_settings = std::move(settings);
  }
  // How long request ids of this node's service are remembered.
  std::chrono::milliseconds ResendHorizon() const;

  // Does nothing when the log knows no such member.
  void Send(const MemberId& receiver, PeerMessage::Content content);
  // To all current members but this one.
  void Broadcast(const PeerMessage::Content& content);
  std::uint64_t messages_sent() const { return m_messages_sent; }

  RecordId Append(const Record& record);
  // The append is still to be waited for: its outcome is unknown and its
  // patience has not run out, or it failed a moment ago.
  bool IsAwaited(const std::optional<RecordId>& append) const;

 private:
  const CoordinatorSettings m_settings;
  const Safeguards m_safeguards;
  const ServiceId m_service;
  PeerSender* m_peer_sender;
  AppendTracker m_appends;
  PeerHealth m_health;
  TimePoint m_now = TimePoint::min();
  const MeshState* m_state = nullptr;
  std::optional<MemberId> m_self;
  bool m_log_available = false;
  std::shared_ptr<const ServiceSettings> m_service_settings;
  std::uint64_t m_messages_sent = 0;
};

}  // namespace citrongrade
