#include "modules/coordination/mesh/key_assigner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <string_view>
#include <utility>

#include "modules/coordination/mesh/key_placement.h"
#include "modules/coordination/mesh/returned_keys_log.h"

namespace citrongrade {

namespace {

// Part of a slot's request rate that one round replaces.
constexpr auto kRateSmoothing =
    static_cast<float>(KeyBalancer::kShortTermSmoothing);
// Weight of a slot without requests, relative to the mean of all slots.
constexpr double kIdleWeight = 0.1;
// A fencing token consists of the leader's epoch above a counter of its grants.
constexpr unsigned kFenceCounterBits = 24;

struct LostAssignment {
  SlotAssignment assignment;
  OwnershipEnd end;
};

// Copy of the assignment with the owner `owner`; unowned if that is not set.
SlotAssignment WithOwner(SlotAssignment assignment, const NextOwner& owner) {
  assignment.owner = owner.address;
  assignment.incarnation = owner.incarnation;
  if (owner.is_set())
    assignment.fence = owner.fence;
  assignment.next = {};
  return assignment;
}

// Returns copies, as callers modify the table while they iterate.
template <typename Assignments, typename Predicate>
std::vector<SlotAssignment> CopyMatching(const Assignments& assignments,
                                         Predicate is_wanted) {
  std::vector<SlotAssignment> selected;
  std::copy_if(assignments.begin(), assignments.end(),
               std::back_inserter(selected), is_wanted);
  return selected;
}

}  // namespace

struct KeyAssigner::Placement {
  const Member& Take(const SlotRange& range) {
    return *receivers[placement.AssignRange(range)];
  }

  std::vector<const Member*> receivers;
  KeyPlacement placement;
};

KeyAssigner::KeyAssigner(std::uint64_t epoch,
                         std::map<std::string, KeyTable> tables)
    : m_epoch(epoch), m_tables(std::move(tables)) {}

void KeyAssigner::SetMembers(std::vector<Member> members) {
  m_members = std::move(members);
}

void KeyAssigner::AddService(const std::string& service) {
  m_tables.try_emplace(service);
}

void KeyAssigner::AddRequestCounts(
    const std::string& service,
    const std::vector<Heartbeat::SlotRequestCount>& request_counts) {
  if (request_counts.empty())
    return;
  std::vector<float>& counts = m_counts[service];
  counts.resize(kSlotCount, 0);
  for (const Heartbeat::SlotRequestCount& slot : request_counts) {
    if (slot.slot < kSlotCount)
      counts[slot.slot] += static_cast<float>(slot.count);
  }
}

void KeyAssigner::EndMeasurementRound(double seconds) {
  for (auto& [service, counts] : m_counts) {
    std::vector<float>& rates = m_rates[service];
    if (rates.empty()) {
      // Assume equal rates until later rounds tell the slots apart.
      const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
      rates.assign(kSlotCount,
                   static_cast<float>(total / kSlotCount / seconds));
    }
    for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
      const auto rate = static_cast<float>(counts[slot] / seconds);
      rates[slot] += kRateSmoothing * (rate - rates[slot]);
      counts[slot] = 0;
    }
  }
}

void KeyAssigner::UnassignLostOwners(
    const std::function<std::optional<OwnershipEnd>(const SlotAssignment&)>&
        find_end) {
  for (const auto& [service, table] : m_tables) {
    ReturnedKeysLog log(service, m_epoch);
    const auto is_next_lost = [&](const SlotAssignment& assignment) {
      return assignment.is_moving() &&
             find_end(WithOwner(assignment, assignment.next));
    };
    ReplaceNextOwners(service, CopyMatching(table.assignments(), is_next_lost));
    std::vector<LostAssignment> lost;
    for (const SlotAssignment& assignment : table.assignments()) {
      if (!assignment.has_owner())
        continue;
      if (const auto end = find_end(assignment))
        lost.push_back({assignment, *end});
    }
    for (const auto& [assignment, end] : lost) {
      log.Add(assignment, end);
      CompleteRelease(service, assignment, {});
    }
  }
}

void KeyAssigner::ReplaceNextOwners(
    const std::string& service,
    const std::vector<SlotAssignment>& assignments) {
  if (assignments.empty())
    return;
  std::optional<Placement> placement = MakePlacement(service);
  if (!placement)
    return;
  for (const SlotAssignment& assignment : assignments)
    PlanMove(service, assignment, assignment.range,
             placement->Take(assignment.range));
}

void KeyAssigner::CompleteRelease(const std::string& service,
                                  SlotAssignment assignment,
                                  const std::string& handover) {
  // The next owner gets the keys even if it is leaving: a previous leader may
  // already have assigned them to it, and then nobody else may have them.
  const bool was_moving = assignment.is_moving();
  assignment = WithOwner(assignment, assignment.next);
  assignment.handover = handover;
  RecordChange(service, assignment);
  if (was_moving)
    m_completed_moves.push_back({service, assignment});
}

void KeyAssigner::AssignUnowned() {
  for (const auto& [service, table] : m_tables) {
    if (!table.HasUnowned())
      continue;
    std::optional<Placement> placement = MakePlacement(service);
    if (!placement)
      continue;
    if (table.assignments().size() == 1) {
      AssignAllSlots(service, placement->receivers);
      continue;
    }
    const auto is_unowned = [](const SlotAssignment& assignment) {
      return !assignment.has_owner();
    };
    for (const SlotAssignment& assignment :
         CopyMatching(table.assignments(), is_unowned))
      AssignInPieces(service, assignment, *placement);
  }
}

void KeyAssigner::AssignAllSlots(const std::string& service,
                                 const std::vector<const Member*>& receivers) {
  double total = 0;
  for (const Member* member : receivers)
    total += member->capacity;
  double given = 0;
  std::uint32_t next = 0;
  for (const Member* member : receivers) {
    given += member->capacity;
    auto end = static_cast<std::uint32_t>(given / total * kSlotCount);
    if (member == receivers.back())
      end = kSlotCount;
    if (end > next)
      AssignRange(service, {next, end - 1}, *member, {});
    next = std::max(next, end);
  }
}

void KeyAssigner::AssignInPieces(const std::string& service,
                                 const SlotAssignment& assignment,
                                 Placement& placement) {
  SlotRange rest = assignment.range;
  while (rest.first <= rest.last) {
    // A range that was released as a whole moves on as a whole, as its handover
    // covers all of it.
    const SlotRange piece = assignment.handover.empty()
                                ? placement.placement.FirstPiece(rest)
                                : rest;
    AssignRange(service, piece, placement.Take(piece), assignment.handover);
    rest.first = piece.last + 1;
  }
}

void KeyAssigner::PlanDrains() {
  std::set<std::string_view> drained;
  for (const Member& member : m_members) {
    if (member.must_drain)
      drained.insert(member.address);
  }
  if (drained.empty())
    return;
  const auto must_move = [&drained](const SlotAssignment& assignment) {
    return !assignment.is_moving() && drained.contains(assignment.owner);
  };
  for (const auto& [service, table] : m_tables) {
    const std::vector<SlotAssignment> assignments =
        CopyMatching(table.assignments(), must_move);
    if (assignments.empty())
      continue;
    std::optional<Placement> placement = MakePlacement(service);
    if (!placement)
      continue;
    for (const SlotAssignment& assignment : assignments)
      PlanDrain(service, assignment, *placement);
  }
}

void KeyAssigner::PlanDrain(const std::string& service,
                            const SlotAssignment& assignment,
                            Placement& placement) {
  SlotRange rest = assignment.range;
  while (rest.first <= rest.last) {
    const SlotRange piece = placement.placement.FirstPiece(rest);
    PlanMove(service, assignment, piece, placement.Take(piece));
    rest.first = piece.last + 1;
  }
}

void KeyAssigner::PlanRebalancing() {
  for (const auto& [service, table] : m_tables) {
    const auto rates = m_rates.find(service);
    if (rates == m_rates.end() || table.HasUnowned())
      continue;
    std::vector<KeyBalancer::Target> targets;
    for (const Member& member : m_members) {
      if (member.service == service && !member.must_drain)
        targets.push_back({member.address, member.capacity, member.may_receive,
                           member.may_give});
    }
    KeyBalancer& balancer =
        m_balancers.try_emplace(service, KeyBalancer::Parameters())
            .first->second;
    const std::vector<KeyBalancer::Move> moves =
        balancer.Plan(PlannedTable(service), rates->second, targets);
    if (!moves.empty()) {
      spdlog::info("event=keys-to-move service={} moves={} runs={}", service,
                   moves.size(), table.assignments().size());
    }
    for (const KeyBalancer::Move& move : moves) {
      const Member* receiver = FindReceiver(service, move.to);
      if (receiver == nullptr)
        continue;
      const auto is_of_giver = [&move](const SlotAssignment& assignment) {
        return assignment.owner == move.from && !assignment.is_moving();
      };
      for (const SlotAssignment& assignment :
           CopyMatching(table.AssignmentsIn(move.range), is_of_giver))
        PlanMove(service, assignment, assignment.range.Intersection(move.range),
                 *receiver);
    }
  }
}

void KeyAssigner::OnReleased(const std::string& from,
                             const Heartbeat::ReleasedRange& released) {
  const auto found = m_tables.find(released.service);
  if (found == m_tables.end() || released.range.last >= kSlotCount ||
      released.range.first > released.range.last)
    return;
  const auto is_released = [&](const SlotAssignment& assignment) {
    return assignment.owner == from && assignment.fence == released.fence;
  };
  const std::vector<SlotAssignment> assignments =
      CopyMatching(found->second.AssignmentsIn(released.range), is_released);
  OwnershipEnd end;
  end.evidence = released.handover.empty()
                     ? OwnershipEnd::Evidence::kHoldExpired
                     : OwnershipEnd::Evidence::kReleased;
  ReturnedKeysLog log(released.service, m_epoch);
  for (SlotAssignment assignment : assignments) {
    assignment.range = assignment.range.Intersection(released.range);
    log.Add(assignment, end);
    CompleteRelease(released.service, assignment, released.handover);
  }
  if (!assignments.empty())
    AssignUnowned();
}

std::vector<KeyAssigner::Change> KeyAssigner::TakeChanges() {
  return std::exchange(m_changes, {});
}

std::vector<KeyAssigner::Change> KeyAssigner::TakeCompletedMoves() {
  return std::exchange(m_completed_moves, {});
}

std::vector<KeyAssigner::Change> KeyAssigner::TakeWithdrawals() {
  return std::exchange(m_withdrawals, {});
}

std::vector<const KeyAssigner::Member*> KeyAssigner::ReceiversOf(
    const std::string& service) const {
  std::vector<const Member*> receivers;
  for (const Member& member : m_members) {
    if (member.service == service && member.may_receive && !member.must_drain)
      receivers.push_back(&member);
  }
  return receivers;
}

const KeyAssigner::Member* KeyAssigner::FindReceiver(
    const std::string& service,
    const std::string& address) const {
  for (const Member* member : ReceiversOf(service)) {
    if (member->address == address)
      return member;
  }
  return nullptr;
}

std::vector<float> KeyAssigner::SlotWeights(const std::string& service) const {
  const auto rates = m_rates.find(service);
  if (rates == m_rates.end())
    return std::vector<float>(kSlotCount, 1.0F);
  double sum = 0;
  for (const float rate : rates->second)
    sum += rate;
  const auto idle =
      static_cast<float>(sum > 0 ? kIdleWeight * sum / kSlotCount : 1.0);
  std::vector<float> weights = rates->second;
  for (float& weight : weights)
    weight += idle;
  return weights;
}

std::optional<KeyAssigner::Placement> KeyAssigner::MakePlacement(
    const std::string& service) const {
  std::vector<const Member*> members = ReceiversOf(service);
  if (members.empty())
    return std::nullopt;
  std::vector<KeyPlacement::Receiver> receivers;
  receivers.reserve(members.size());
  for (const Member* member : members)
    receivers.push_back({member->address, member->capacity});
  KeyPlacement places(std::move(receivers), m_tables.at(service),
                      SlotWeights(service));
  return Placement{std::move(members), std::move(places)};
}

KeyTable KeyAssigner::PlannedTable(const std::string& service) const {
  KeyTable planned = m_tables.at(service);
  for (const SlotAssignment& assignment : m_tables.at(service).assignments()) {
    if (assignment.is_moving())
      planned.Assign(WithOwner(assignment, assignment.next));
  }
  return planned;
}

void KeyAssigner::PlanMove(const std::string& service,
                           const SlotAssignment& assignment,
                           SlotRange range,
                           const Member& to) {
  SlotAssignment moving = assignment;
  moving.range = range;
  moving.next = {to.address, to.incarnation, NewFence()};
  m_tables[service].Assign(moving);
  m_changes.push_back({service, moving});
}

std::uint64_t KeyAssigner::NewFence() {
  return (m_epoch << kFenceCounterBits) + ++m_fence_counter;
}

void KeyAssigner::AssignRange(const std::string& service,
                              SlotRange range,
                              const Member& receiver,
                              const std::string& handover) {
  SlotAssignment assignment;
  assignment.range = range;
  assignment.owner = receiver.address;
  assignment.incarnation = receiver.incarnation;
  assignment.fence = NewFence();
  assignment.handover = handover;
  RecordChange(service, assignment);
}

void KeyAssigner::RecordChange(const std::string& service,
                               const SlotAssignment& assignment) {
  m_tables[service].Assign(assignment);
  m_changes.push_back({service, assignment});
  SlotAssignment withdrawn = assignment;
  withdrawn.owner.clear();
  withdrawn.incarnation = {};
  m_withdrawals.push_back({service, withdrawn});
}

}  // namespace citrongrade
