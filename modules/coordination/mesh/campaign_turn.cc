#include "modules/coordination/mesh/campaign_turn.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "modules/state/mesh/mesh_member.h"
#include "modules/state/mesh/mesh_view.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// Long enough to ask all nodes and be answered over links that are full of
// requests.
constexpr milliseconds kTurn{150};
// So many have a turn each; it is unlikely that all of them are lost with the
// leader, and the others wait together after them.
constexpr std::size_t kTurns = 4;
constexpr milliseconds kSpread{300};

}  // namespace

CampaignTurn::CampaignTurn(const MeshView& view,
                           const std::string& lost,
                           std::uint64_t epoch)
    : m_view(view), m_lost(lost), m_epoch(epoch) {}

std::size_t CampaignTurn::OrderOf(const std::string& address,
                                  std::uint64_t epoch) {
  return std::hash<std::string>()(address + std::to_string(epoch));
}

milliseconds CampaignTurn::DelayOf(const std::string& self,
                                   std::uint64_t random) const {
  const std::size_t place = PlaceOf(self);
  if (place < kTurns)
    return kTurn * static_cast<int>(place);
  const auto spread = static_cast<std::uint64_t>(kSpread.count());
  return kTurn * static_cast<int>(kTurns) + milliseconds(random % spread);
}

std::size_t CampaignTurn::PlaceOf(const std::string& self) const {
  const MeshMember* own = m_view.FindMember(self);
  if (own == nullptr)
    return kTurns;
  const auto key_of = [this](const MeshMember& member) {
    return std::tuple(-static_cast<std::int64_t>(member.leader_merit_milli),
                      OrderOf(member.address, m_epoch), member.address);
  };
  const auto own_key = key_of(*own);
  const auto members = m_view.members();
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [&](const MeshMember* member) {
        const bool may_lead = member->address != m_lost &&
                              member->state != MeshMember::State::kAbsent;
        return may_lead && key_of(*member) < own_key;
      }));
}

}  // namespace citrongrade
