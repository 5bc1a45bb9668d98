#include "modules/coordination/slot_assigner.h"

#include <algorithm>

#include "modules/coordination/mesh_context.h"
#include "modules/coordination/slot_spreader.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kDelayPerRank{300};
// Members that still have no witnesses after so many settling times are not
// waited for.
constexpr int kMaxSettlings = 3;

std::vector<const Member*> MembersOf(const MeshContext& context) {
  std::vector<const Member*> members = context.state().CurrentMembers();
  std::erase_if(members, [&context](const Member* member) {
    return member->announcement.service != context.service();
  });
  return members;
}

}  // namespace

SlotAssigner::SlotAssigner(MeshContext& context) : m_context(&context) {}

void SlotAssigner::Tick() {
  const auto& settings = m_context->service_settings();
  if (m_context->FindSelf() == nullptr || settings == nullptr ||
      !m_context->log_available() || m_context->IsAwaited(m_append)) {
    return;
  }
  const SlotTable* table = m_context->state().FindSlots(m_context->service());
  if (table != nullptr && table->UnownedCount() == 0) {
    m_unowned_since.reset();
    return;
  }
  if (!HasSettled()) {
    return;
  }
  std::vector<OwnedSlotRange> runs = SlotSpreader::Spread(
      UnownedSlots(),
      SlotSpreader::ReceiversFor(*m_context, m_context->service()));
  if (runs.empty()) {
    return;
  }
  const std::uint32_t slot_count =
      table == nullptr ? settings->slot_count : table->slot_count();
  const std::uint64_t hash_seed =
      table == nullptr ? settings->hash_seed : table->hash_seed();
  m_append = m_context->Append(AssignRecord{m_context->service(), slot_count,
                                            hash_seed, std::move(runs)});
}

std::vector<SlotIndex> SlotAssigner::UnownedSlots() const {
  const SlotTable* table = m_context->state().FindSlots(m_context->service());
  const std::uint32_t count = table == nullptr
                                  ? m_context->service_settings()->slot_count
                                  : table->slot_count();
  std::vector<SlotIndex> slots;
  for (std::uint32_t i = 0; i < count; ++i) {
    const SlotIndex slot(i);
    if (table == nullptr || !table->OwnerOf(slot).has_value()) {
      slots.push_back(slot);
    }
  }
  return slots;
}

bool SlotAssigner::HasSettled() {
  const std::size_t member_count = MembersOf(*m_context).size();
  if (!m_unowned_since.has_value() || member_count != m_member_count) {
    m_unowned_since = m_context->now();
    m_member_count = member_count;
  }
  const Clock::Duration settling = m_context->settings().settling;
  const Clock::Duration waited = m_context->now() - *m_unowned_since;
  const Clock::Duration needed =
      AllMembersMayOwn() ? settling : settling * kMaxSettlings;
  return waited >= needed + Rank() * kDelayPerRank;
}

bool SlotAssigner::AllMembersMayOwn() const {
  const std::vector<const Member*> members = MembersOf(*m_context);
  return std::all_of(members.begin(), members.end(), [](const Member* member) {
    return !member->witnesses.witnesses.empty();
  });
}

std::size_t SlotAssigner::Rank() const {
  const std::vector<const Member*> members = MembersOf(*m_context);
  const auto self = std::find_if(
      members.begin(), members.end(),
      [this](const Member* member) { return member->id == m_context->self(); });
  return static_cast<std::size_t>(self - members.begin());
}

}  // namespace citrongrade
