#include "modules/coordination/mesh_context.h"

#include <utility>

#include "modules/coordination/peer_sender.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

MeshContext::MeshContext(const CoordinatorSettings& settings,
                         const Safeguards& safeguards,
                         const ServiceId& service,
                         PeerSender& peer_sender,
                         LogWriter& log_writer,
                         std::uint64_t random_seed)
    : m_settings(settings),
      m_safeguards(safeguards),
      m_service(service),
      m_peer_sender(&peer_sender),
      m_appends(log_writer, random_seed),
      m_health(settings.suspicion) {}

const Member* MeshContext::FindSelf() const {
  return m_self.has_value() ? m_state->FindMember(*m_self) : nullptr;
}

std::chrono::milliseconds MeshContext::ResendHorizon() const {
  return m_service_settings == nullptr ? ServiceSettings().resend_horizon
                                       : m_service_settings->resend_horizon;
}

void MeshContext::Send(const MemberId& receiver, PeerMessage::Content content) {
  const Member* member = m_state->FindMember(receiver);
  if (member == nullptr || !m_self.has_value()) {
    return;
  }
  ++m_messages_sent;
  m_peer_sender->Send(member->announcement.peer_address,
                      {*m_self, receiver, std::move(content)});
}

void MeshContext::Broadcast(const PeerMessage::Content& content) {
  for (const Member* member : m_state->CurrentMembers()) {
    if (member->id != m_self) {
      Send(member->id, content);
    }
  }
}

RecordId MeshContext::Append(const Record& record) {
  return m_appends.Append(record, m_now);
}

bool MeshContext::IsAwaited(const std::optional<RecordId>& append) const {
  if (!append.has_value()) {
    return false;
  }
  const AppendTracker::Outcome outcome = m_appends.OutcomeOf(*append);
  if (outcome == AppendTracker::Outcome::kUnknown) {
    return !m_appends.IsOverdue(*append, m_now, m_settings.append_patience);
  }
  // One that failed at once is not tried again at once.
  const Clock::TimePoint appended_at = m_appends.AppendedAt(*append);
  return outcome != AppendTracker::Outcome::kAccepted &&
         m_now < appended_at + m_settings.retry_interval;
}

}  // namespace citrongrade
