#include "modules/coordination/board_publisher.h"

#include <utility>

#include "modules/coordination/mesh_context.h"
#include "modules/coordination/ownership_board.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

BoardPublisher::BoardPublisher(const MeshContext& context,
                               OwnershipBoard& board)
    : m_context(&context), m_board(&board) {}

void BoardPublisher::NoteChange(bool slots_too) {
  m_changed = true;
  m_slots_changed = m_slots_changed || slots_too;
}

void BoardPublisher::SetSettings(Settings settings) {
  m_settings = std::move(settings);
  m_changed = true;
}

void BoardPublisher::Publish(bool ready,
                             bool draining,
                             std::set<SlotIndex> frozen) {
  const bool same = !m_changed && ready == m_ready && draining == m_draining &&
                    frozen == m_frozen;
  if (same) {
    return;
  }
  if (m_slots_changed) {
    CopySlots();
  }
  m_changed = false;
  m_slots_changed = false;
  m_ready = ready;
  m_draining = draining;
  m_frozen = std::move(frozen);
  m_board->Publish(MakeView());
}

void BoardPublisher::CopySlots() {
  m_slots.clear();
  for (const auto& [id, table] : m_context->state().services()) {
    m_slots.emplace(id, std::make_shared<const SlotTable>(table));
  }
  m_own_epochs.clear();
  const SlotTable* own = m_context->state().FindSlots(m_context->service());
  if (own == nullptr || !m_context->self().has_value()) {
    return;
  }
  m_own_epochs.resize(own->slot_count());
  for (const SlotIndex slot : own->SlotsOf(*m_context->self())) {
    m_own_epochs[slot.value()] = own->OwnerOf(slot)->epoch;
  }
}

std::shared_ptr<BoardView> BoardPublisher::MakeView() const {
  auto view = std::make_shared<BoardView>();
  view->ready = m_ready;
  view->draining = m_draining;
  view->self = m_context->self();
  view->own_service = m_context->service();
  view->own_epochs = m_own_epochs;
  view->frozen_slots = m_frozen;
  for (const auto& settings : m_settings) {
    view->services[settings->id].settings = settings;
  }
  for (const auto& [id, slots] : m_slots) {
    view->services[id].slots = slots;
  }
  for (const auto& [id, member] : m_context->state().members()) {
    view->routes.emplace(id, MakeRoute(member));
  }
  for (const Member* member : m_context->state().CurrentMembers()) {
    view->services[member->announcement.service].members.push_back(
        MakeRoute(*member));
  }
  return view;
}

Route BoardPublisher::MakeRoute(const Member& member) const {
  Route route;
  route.member = member.id;
  route.availability_zone = member.announcement.availability_zone;
  route.data_address = member.announcement.data_address;
  route.is_local = member.id == m_context->self();
  route.target_slots = member.announcement.target_slots;
  return route;
}

}  // namespace citrongrade
