#include "modules/coordination/mesh/election_delay.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "modules/state/mesh/mesh_member.h"
#include "modules/state/mesh/mesh_view.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// Long enough to ask all nodes and receive their answers over links that are
// saturated with requests.
constexpr milliseconds kDelayPerRank{150};
// Number of candidates with a delay of their own. It is unlikely that all of
// them are lost together with the leader; the others share a random delay after
// them.
constexpr std::size_t kRankedCandidates = 4;
constexpr milliseconds kRandomDelayRange{300};

}  // namespace

ElectionDelay::ElectionDelay(const MeshView& view,
                             const std::string& lost_leader,
                             std::uint64_t epoch)
    : m_view(view), m_lost_leader(lost_leader), m_epoch(epoch) {}

std::size_t ElectionDelay::TieBreakHash(const std::string& address,
                                        std::uint64_t epoch) {
  return std::hash<std::string>()(address + std::to_string(epoch));
}

milliseconds ElectionDelay::DelayFor(const std::string& self,
                                     std::uint64_t random) const {
  const std::size_t rank = RankOf(self);
  if (rank < kRankedCandidates)
    return kDelayPerRank * static_cast<int>(rank);
  const auto random_range =
      static_cast<std::uint64_t>(kRandomDelayRange.count());
  return kDelayPerRank * static_cast<int>(kRankedCandidates) +
         milliseconds(random % random_range);
}

std::size_t ElectionDelay::RankOf(const std::string& self) const {
  const MeshMember* own = m_view.FindMember(self);
  if (own == nullptr)
    return kRankedCandidates;
  const auto key_of = [this](const MeshMember& member) {
    return std::tuple(-static_cast<std::int64_t>(member.leader_fitness_milli),
                      TieBreakHash(member.address, m_epoch), member.address);
  };
  const auto own_key = key_of(*own);
  const auto members = m_view.members();
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [&](const MeshMember* member) {
        const bool is_candidate = member->address != m_lost_leader &&
                                  member->state != MeshMember::State::kAbsent;
        return is_candidate && key_of(*member) < own_key;
      }));
}

}  // namespace citrongrade
