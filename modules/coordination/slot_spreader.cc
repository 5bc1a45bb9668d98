#include "modules/coordination/slot_spreader.h"

#include <algorithm>
#include <cstddef>
#include <queue>

#include "modules/coordination/mesh_context.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

// Slots of an earlier incarnation count, too: a node that restarted in place is
// about to take them back, and what others gave it meanwhile would move twice.
std::uint32_t CountOfNode(const MeshState& state,
                          const SlotTable& slots,
                          const NodeId& node) {
  std::uint32_t count = 0;
  const auto first = state.members().lower_bound({node, Incarnation()});
  for (auto it = first; it != state.members().end() && it->first.node == node;
       ++it) {
    count += slots.CountOwnedBy(it->first);
  }
  return count;
}

// The load that a receiver would have with one slot more.
double LoadWithOneMore(const SlotSpreader::Receiver& receiver) {
  return (receiver.owned_slots + 1.0) / receiver.weight;
}

}  // namespace

std::vector<SlotSpreader::Receiver> SlotSpreader::ReceiversFor(
    MeshContext& context,
    const ServiceId& service) {
  const MeshState& state = context.state();
  const SlotTable* slots = state.FindSlots(service);
  const std::vector<const Member*> members = state.CurrentMembers();
  std::vector<Receiver> receivers;
  for (const Member* member : members) {
    const bool may_own =
        !member->witnesses.witnesses.empty() || members.size() == 1;
    if (member->announcement.service != service || !may_own ||
        !context.health().IsEligible(member->id, context.now())) {
      continue;
    }
    receivers.push_back(
        {member->id, std::max(member->announcement.target_slots, 1U),
         slots == nullptr ? 0 : CountOfNode(state, *slots, member->id.node)});
  }
  return receivers;
}

std::vector<OwnedSlotRange> SlotSpreader::Spread(
    const std::vector<SlotIndex>& slots,
    std::vector<Receiver> receivers) {
  std::vector<OwnedSlotRange> runs;
  if (receivers.empty()) {
    return runs;
  }
  const auto heavier = [&receivers](std::size_t left, std::size_t right) {
    const double left_load = LoadWithOneMore(receivers[left]);
    const double right_load = LoadWithOneMore(receivers[right]);
    return left_load != right_load ? left_load > right_load : left > right;
  };
  std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(heavier)>
      least_loaded(heavier);
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    least_loaded.push(i);
  }
  std::vector<std::size_t> shares(receivers.size());
  for (std::size_t i = 0; i < slots.size(); ++i) {
    const std::size_t chosen = least_loaded.top();
    least_loaded.pop();
    ++shares[chosen];
    ++receivers[chosen].owned_slots;
    least_loaded.push(chosen);
  }
  auto begin = slots.begin();
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    const auto end = begin + static_cast<std::ptrdiff_t>(shares[i]);
    const std::vector<OwnedSlotRange> own =
        RunsOf(std::vector<SlotIndex>(begin, end), receivers[i].member);
    runs.insert(runs.end(), own.begin(), own.end());
    begin = end;
  }
  return runs;
}

std::vector<OwnedSlotRange> SlotSpreader::RunsOf(
    const std::vector<SlotIndex>& slots,
    const MemberId& owner) {
  std::vector<OwnedSlotRange> runs;
  for (const SlotIndex slot : slots) {
    const bool follows =
        !runs.empty() &&
        runs.back().first.value() + runs.back().count == slot.value();
    if (follows) {
      ++runs.back().count;
    } else {
      runs.push_back({slot, 1, owner});
    }
  }
  return runs;
}

}  // namespace citrongrade
