#include "modules/coordination/node_coordinator_impl.h"

#include <utility>
#include <variant>

namespace citrongrade {

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const LeaseRequest& request) {
  const LeaseReply::Answer answer =
      m_ledger.Grant({sender, request.version}, m_context.now());
  m_context.Send(sender, LeaseReply{request.version, request.sequence, answer});
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const LeaseReply& reply) {
  if (reply.answer == LeaseReply::Answer::kWithheld) {
    m_context.health().NoteDraining(sender, m_context.now());
  }
  m_lease.OnReply(sender, reply, m_context.now());
  m_keeper.Tick();
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const CloseRequest& request) {
  m_takeovers.OnCloseRequest(sender, request);
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const CloseReply& reply) {
  m_takeovers.OnCloseReply(sender, reply);
  m_takeovers.Tick();
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const RegisterIdsRequest& request) {
  const bool stored = m_witnessed.Store(sender, request, m_context.now());
  m_context.Send(sender, RegisterIdsReply{request.sequence, stored});
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const RegisterIdsReply& reply) {
  m_registrar.OnReply(sender, reply, m_context.now());
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const CollectIdsRequest& request) {
  const Clock::TimePoint now = m_context.now();
  m_witnessed.NoteGone(request.lost, now);
  CollectIdsReply reply =
      m_witnessed.Collect(request.lost, request.chunk_index, now);
  reply.collection = request.collection;
  m_context.Send(sender, std::move(reply));
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const CollectIdsReply& reply) {
  MemberId witness = sender;
  if (!m_context.safeguards().witness_incarnation) {
    witness = m_recovery.NamedWitness(reply, sender);
  }
  m_recovery.OnReply(witness, reply);
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const HandOffRequest& request) {
  m_moves.OnHandOffRequest(sender, request);
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const HandOffReply& reply) {
  m_moves.OnHandOffReply(sender, reply);
}

void NodeCoordinator::Impl::Handle(const MemberId& sender,
                                   const DrainNotice& /*notice*/) {
  m_context.health().NoteDraining(sender, m_context.now());
}

void NodeCoordinator::Impl::Handle(const MemberId& /*sender*/,
                                   const LapseNotice& notice) {
  if (notice.holder != m_context.self()) {
    m_context.health().Suspect(notice.holder, m_context.now());
  }
}

}  // namespace citrongrade
