#include "modules/coordination/node_coordinator_impl.h"

#include <chrono>
#include <utility>

namespace citrongrade {

CoordinatorDump NodeCoordinator::Impl::Dump() const {
  const Clock::TimePoint now = m_clock->Now();
  CoordinatorDump dump;
  dump.identity = m_context.self();
  dump.ready = IsReady();
  dump.draining = m_drain.is_draining();
  dump.stopped = m_loss.has_value();
  dump.next_offset = state().next_offset();
  dump.awaited_log_end = m_follower.awaited_end().value_or(LogOffset());
  dump.log_available = m_context.log_available();
  dump.in_log_gap = m_follower.in_gap();
  const Clock::TimePoint end = m_lease.End();
  if (end > now && end != Clock::TimePoint::max()) {
    dump.lease_remaining =
        std::chrono::floor<std::chrono::milliseconds>(end - now);
  }
  dump.counted_witness_set = m_lease.counted_version();
  for (const Member* member : state().CurrentMembers()) {
    dump.current_members.push_back(member->id);
  }
  const Member* self = m_context.FindSelf();
  if (self != nullptr) {
    const auto add_set = [this, &dump, now](const WitnessSet& set,
                                            bool is_pending) {
      for (const Witness& witness : set.witnesses) {
        CoordinatorDump::WitnessView view;
        view.member = witness.member;
        view.in_confirmed_set = !is_pending;
        view.in_pending_set = is_pending;
        const auto granted = m_lease.LastGrant(witness.member);
        if (granted.has_value()) {
          view.since_last_grant =
              std::chrono::floor<std::chrono::milliseconds>(now - *granted);
        }
        dump.witnesses.push_back(std::move(view));
      }
    };
    add_set(self->witnesses, false);
    if (self->pending_witnesses.has_value()) {
      add_set(*self->pending_witnesses, true);
    }
  }
  for (const auto& [id, table] : state().services()) {
    dump.services.push_back(
        {id, table.slot_count(), table.UnownedCount(), table.OwnedRanges()});
  }
  dump.moves = m_moves.Dump();
  dump.recoveries = m_recovery.Dump();
  dump.takeovers = m_takeovers.Dump();
  dump.request_ids = m_memory.size();
  dump.request_id_answer_bytes = m_memory.answer_bytes();
  dump.witnessed_ids = m_witnessed.size();
  dump.holders_witnessed = m_ledger.size();
  dump.messages_sent = m_context.messages_sent();
  dump.records_appended = m_context.appends().appended();
  dump.records_rejected = m_context.appends().rejected();
  dump.snapshots_written = m_snapshots.written();
  dump.clock_jumps = m_clock_jumps;
  dump.last_errors.assign(m_errors.begin(), m_errors.end());
  return dump;
}

}  // namespace citrongrade
