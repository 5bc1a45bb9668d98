#include "modules/coordination/witness_set_planner.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

struct Candidate {
  MemberId id;
  AvailabilityZone zone;
  bool is_present = false;
  std::uint64_t order = 0;
};

// Spreads the work of bearing witness over all members: each holder has its own
// order of preference (rendezvous hashing).
std::uint64_t PreferenceOf(const MemberId& holder, const MemberId& witness) {
  const std::string text = holder.node.value() + '\n' + witness.node.value();
  return XXH3_64bits(text.data(), text.size());
}

std::vector<Candidate> FindCandidates(
    const MeshState& state,
    const MemberId& holder,
    const std::vector<MemberId>& present,
    const WitnessSetPlanner::Eligibility& is_eligible) {
  std::vector<Candidate> candidates;
  for (const Member* member : state.CurrentMembers()) {
    if (member->id.node == holder.node || !is_eligible(member->id)) {
      continue;
    }
    const bool is_present =
        std::find(present.begin(), present.end(), member->id) != present.end();
    candidates.push_back({member->id, member->announcement.availability_zone,
                          is_present, PreferenceOf(holder, member->id)});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return std::tuple(!left.is_present, left.order, left.id) <
                     std::tuple(!right.is_present, right.order, right.id);
            });
  return candidates;
}

// Takes candidates in order of preference while their zone has fewer than
// `max_per_zone`.
void Choose(const std::vector<Candidate>& candidates,
            std::size_t size,
            std::size_t max_per_zone,
            std::vector<MemberId>& chosen) {
  std::map<AvailabilityZone, std::size_t> per_zone;
  for (const Candidate& candidate : candidates) {
    const bool already =
        std::find(chosen.begin(), chosen.end(), candidate.id) != chosen.end();
    per_zone[candidate.zone] += already ? 1 : 0;
  }
  for (const Candidate& candidate : candidates) {
    const bool already =
        std::find(chosen.begin(), chosen.end(), candidate.id) != chosen.end();
    if (already || chosen.size() >= size ||
        per_zone[candidate.zone] >= max_per_zone) {
      continue;
    }
    chosen.push_back(candidate.id);
    ++per_zone[candidate.zone];
  }
}

}  // namespace

std::size_t WitnessSetPlanner::SizeFor(std::size_t other_members) {
  if (other_members >= kFullSize) {
    return kFullSize;
  }
  // Of two witnesses both would be needed: worse than one.
  return other_members >= kSmallMeshSize
             ? kSmallMeshSize
             : std::min<std::size_t>(other_members, 1);
}

std::vector<MemberId> WitnessSetPlanner::Plan(
    const MeshState& state,
    const MemberId& holder,
    const std::vector<MemberId>& present,
    const Eligibility& is_eligible) {
  const std::vector<Candidate> candidates =
      FindCandidates(state, holder, present, is_eligible);
  const std::size_t size = SizeFor(candidates.size());
  // A set of three survives a zone's loss with one in each.
  const std::size_t max_per_zone = size <= kSmallMeshSize ? 1 : kMaxPerZone;
  std::vector<MemberId> chosen;
  Choose(candidates, size, max_per_zone, chosen);
  Choose(candidates, size, size, chosen);
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace citrongrade
