#pragma once

#include <map>
#include <memory>
#include <vector>

#include "modules/coordination/board_view.h"
#include "modules/state/member_id.h"
#include "modules/state/service_id.h"
#include "modules/state/service_settings.h"
#include "modules/state/slot_table.h"

namespace citrongrade {

class MeshContext;
class OwnershipBoard;
struct Member;

// Makes the board's view out of the replayed state. Slot tables, the large
// part, are copied only when a record touched them.
class BoardPublisher {
 public:
  using Settings = std::vector<std::shared_ptr<const ServiceSettings>>;

  // Both outlive the publisher.
  BoardPublisher(const MeshContext& context, OwnershipBoard& board);

  // The state changed; `slots_too`: owners of slots as well.
  void NoteChange(bool slots_too);
  void SetSettings(Settings settings);

  // `ready`, `draining` and `frozen` as in BoardView. Publishes only what
  // differs from before.
  void Publish(bool ready, bool draining, std::set<SlotIndex> frozen);

 private:
  void CopySlots();
  std::shared_ptr<BoardView> MakeView() const;
  Route MakeRoute(const Member& member) const;

  const MeshContext* m_context;
  OwnershipBoard* m_board;
  Settings m_settings;
  std::map<ServiceId, std::shared_ptr<const SlotTable>> m_slots;
  std::vector<Epoch> m_own_epochs;
  bool m_changed = true;
  bool m_slots_changed = true;
  bool m_ready = false;
  bool m_draining = false;
  std::set<SlotIndex> m_frozen;
};

}  // namespace citrongrade
