#include "modules/coordination/mesh/key_assigner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace citrongrade {

namespace {

// Part of a rate that one round of counting replaces. With rounds of 250 ms a
// hot spot shows in half a second, and noise of a few requests does not.
constexpr float kRoundShare = 0.3F;
// Weight of a slot without arrivals, as part of the mean of all.
constexpr double kIdleWeight = 0.1;
// A fence holds the leader's epoch above a count of its grants.
constexpr unsigned kGrantBits = 24;
// A run that nobody owns is given out in pieces of at most this part of what
// one member would get.
constexpr double kPieceShare = 0.34;

// The run in the hands of `owner`; in nobody's when that is not set.
OwnedRun AsOwned(OwnedRun run, const NextOwner& owner) {
  run.owner = owner.address;
  run.life = owner.life;
  if (owner.is_set())
    run.fence = owner.fence;
  run.next = {};
  return run;
}

}  // namespace

KeyAssigner::KeyAssigner(std::uint64_t epoch,
                         std::map<std::string, KeyTable> tables)
    : m_epoch(epoch), m_tables(std::move(tables)) {}

void KeyAssigner::SetMembers(std::vector<Member> members) {
  m_members = std::move(members);
}

void KeyAssigner::AddService(const std::string& service) {
  m_tables.try_emplace(service);
}

void KeyAssigner::CountArrivals(
    const std::string& service,
    const std::vector<Heartbeat::SlotArrivals>& arrivals) {
  if (arrivals.empty())
    return;
  std::vector<float>& counts = m_counts[service];
  counts.resize(kSlotCount, 0);
  for (const Heartbeat::SlotArrivals& slot : arrivals) {
    if (slot.slot < kSlotCount)
      counts[slot.slot] += static_cast<float>(slot.count);
  }
}

void KeyAssigner::EndRound(double seconds) {
  for (auto& [service, counts] : m_counts) {
    std::vector<float>& rates = m_rates[service];
    rates.resize(kSlotCount, 0);
    for (std::uint32_t slot = 0; slot < kSlotCount; ++slot) {
      const auto rate = static_cast<float>(counts[slot] / seconds);
      rates[slot] += kRoundShare * (rate - rates[slot]);
      counts[slot] = 0;
    }
  }
}

void KeyAssigner::FreeLost(
    const std::function<bool(const OwnedRun&)>& is_lost) {
  for (const auto& [service, table] : m_tables) {
    const std::vector<OwnedRun> runs = table.runs();
    for (const OwnedRun& run : runs) {
      if (run.is_moving() && is_lost(AsOwned(run, run.next)))
        ReplaceNextOwner(service, run);
    }
    const std::vector<OwnedRun> current = table.runs();
    for (const OwnedRun& run : current) {
      if (run.has_owner() && is_lost(run))
        TakeFromOwner(service, run, {});
    }
  }
}

void KeyAssigner::ReplaceNextOwner(const std::string& service,
                                   const OwnedRun& run) {
  const std::vector<const Member*> receivers = ReceiversOf(service);
  if (receivers.empty())
    return;
  Loads loads = LoadsOf(PlannedTable(service), WeightsOf(service));
  PlanMove(service, run, run.range, LeastBusy(receivers, loads, 0));
}

void KeyAssigner::TakeFromOwner(const std::string& service,
                                OwnedRun run,
                                const std::string& handover) {
  // The next owner gets them also while it leaves: a leader before may have
  // given them to it already, and nobody else may have them then.
  const bool was_moving = run.is_moving();
  run = AsOwned(run, run.next);
  run.handover = handover;
  Record(service, run);
  if (was_moving)
    m_completed_moves.push_back({service, run});
}

void KeyAssigner::PlaceUnowned() {
  for (const auto& [service, table] : m_tables) {
    if (!table.HasUnowned() || ReceiversOf(service).empty())
      continue;
    if (table.runs().size() == 1) {
      SpreadAll(service);
      continue;
    }
    const std::vector<OwnedRun> runs = table.runs();
    for (const OwnedRun& run : runs) {
      if (!run.has_owner())
        PlaceRun(service, run);
    }
  }
}

void KeyAssigner::SpreadAll(const std::string& service) {
  const std::vector<const Member*> receivers = ReceiversOf(service);
  double all = 0;
  for (const Member* member : receivers)
    all += member->capacity;
  double given = 0;
  std::uint32_t next = 0;
  for (const Member* member : receivers) {
    given += member->capacity;
    auto end = static_cast<std::uint32_t>(given / all * kSlotCount);
    if (member == receivers.back())
      end = kSlotCount;
    if (end > next)
      Give(service, {next, end - 1}, *member, {});
    next = std::max(next, end);
  }
}

void KeyAssigner::PlaceRun(const std::string& service, const OwnedRun& run) {
  const std::vector<const Member*> receivers = ReceiversOf(service);
  const std::vector<float> weights = WeightsOf(service);
  Loads loads = LoadsOf(PlannedTable(service), weights);
  const double piece_weight =
      loads.all / static_cast<double>(receivers.size()) * kPieceShare;
  std::uint32_t next = run.range.first;
  while (next <= run.range.last) {
    // What one holder gave back goes on together: its handover is for all.
    std::uint32_t end = run.handover.empty() ? next : run.range.last;
    double weight = 0;
    for (std::uint32_t s = next; s <= end; ++s)
      weight += weights[s];
    while (end < run.range.last && weight + weights[end + 1] <= piece_weight)
      weight += weights[++end];
    const Member& best = LeastBusy(receivers, loads, weight);
    Give(service, {next, end}, best, run.handover);
    next = end + 1;
  }
}

void KeyAssigner::OrderDrains() {
  for (const Member& member : m_members) {
    if (member.must_give)
      OrderDrain(member);
  }
}

void KeyAssigner::OrderDrain(const Member& giver) {
  const auto found = m_tables.find(giver.service);
  if (found == m_tables.end())
    return;
  const std::vector<const Member*> receivers = ReceiversOf(giver.service);
  if (receivers.empty())
    return;
  const std::vector<float> weights = WeightsOf(giver.service);
  Loads loads = LoadsOf(PlannedTable(giver.service), weights);
  const double piece_weight =
      loads.all / static_cast<double>(receivers.size()) * kPieceShare;
  const std::vector<OwnedRun> runs = found->second.runs();
  for (const OwnedRun& run : runs) {
    if (run.owner != giver.address || run.is_moving())
      continue;
    std::uint32_t next = run.range.first;
    while (next <= run.range.last) {
      std::uint32_t end = next;
      double weight = weights[next];
      while (end < run.range.last && weight + weights[end + 1] <= piece_weight)
        weight += weights[++end];
      const Member& best = LeastBusy(receivers, loads, weight);
      PlanMove(giver.service, run, {next, end}, best);
      next = end + 1;
    }
  }
}

void KeyAssigner::OrderBalance() {
  for (const auto& [service, table] : m_tables) {
    const auto rates = m_rates.find(service);
    if (rates == m_rates.end() || table.HasUnowned())
      continue;
    std::vector<KeyBalancer::Target> targets;
    for (const Member& member : m_members) {
      if (member.service == service && !member.must_give)
        targets.push_back(
            {member.address, member.capacity, member.may_receive});
    }
    KeyBalancer& balancer =
        m_balancers.try_emplace(service, KeyBalancer::Parameters())
            .first->second;
    const std::vector<KeyBalancer::Move> moves =
        balancer.Plan(PlannedTable(service), rates->second, targets);
    if (!moves.empty()) {
      spdlog::info("event=keys-to-move service={} moves={} runs={}", service,
                   moves.size(), table.runs().size());
    }
    const KeyTable current = table;
    for (const KeyBalancer::Move& move : moves) {
      const Member* receiver = FindReceiver(service, move.to);
      for (const OwnedRun& run : current.runs()) {
        if (receiver == nullptr || !run.range.Overlaps(move.range) ||
            run.owner != move.from || run.is_moving())
          continue;
        PlanMove(service, run, run.range.CommonPart(move.range), *receiver);
      }
    }
  }
}

void KeyAssigner::OnReleased(const std::string& from,
                             const Heartbeat::Released& released) {
  const auto found = m_tables.find(released.service);
  if (found == m_tables.end() || released.range.last >= kSlotCount ||
      released.range.first > released.range.last)
    return;
  bool is_news = false;
  const std::vector<OwnedRun> runs = found->second.runs();
  for (OwnedRun run : runs) {
    if (run.owner != from || run.fence != released.fence ||
        !run.range.Overlaps(released.range))
      continue;
    run.range = run.range.CommonPart(released.range);
    TakeFromOwner(released.service, run, released.handover);
    is_news = true;
  }
  if (is_news)
    PlaceUnowned();
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
    if (member.service == service && member.may_receive && !member.must_give)
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

KeyAssigner::Loads KeyAssigner::LoadsOf(
    const KeyTable& table,
    const std::vector<float>& weights) const {
  Loads loads;
  for (const OwnedRun& run : table.runs()) {
    double sum = 0;
    for (std::uint32_t s = run.range.first; s <= run.range.last; ++s)
      sum += weights[s];
    loads.by_owner[run.owner] += sum;
    loads.all += sum;
  }
  return loads;
}

const KeyAssigner::Member& KeyAssigner::LeastBusy(
    const std::vector<const Member*>& receivers,
    Loads& loads,
    double weight) {
  const auto use = [&](const Member* member) {
    return (loads.by_owner[member->address] + weight) / member->capacity;
  };
  const Member* best =
      *std::min_element(receivers.begin(), receivers.end(),
                        [&use](const Member* left, const Member* right) {
                          return use(left) < use(right);
                        });
  loads.by_owner[best->address] += weight;
  return *best;
}

std::vector<float> KeyAssigner::WeightsOf(const std::string& service) const {
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

KeyTable KeyAssigner::PlannedTable(const std::string& service) const {
  KeyTable planned = m_tables.at(service);
  for (const OwnedRun& run : m_tables.at(service).runs()) {
    if (run.is_moving())
      planned.Assign(AsOwned(run, run.next));
  }
  return planned;
}

void KeyAssigner::PlanMove(const std::string& service,
                           const OwnedRun& run,
                           SlotRange range,
                           const Member& to) {
  OwnedRun moving = run;
  moving.range = range;
  moving.next = {to.address, to.life, NewFence()};
  m_tables[service].Assign(moving);
  m_changes.push_back({service, moving});
}

std::uint64_t KeyAssigner::NewFence() {
  return (m_epoch << kGrantBits) + ++m_grants;
}

void KeyAssigner::Give(const std::string& service,
                       SlotRange range,
                       const Member& receiver,
                       const std::string& handover) {
  OwnedRun run;
  run.range = range;
  run.owner = receiver.address;
  run.life = receiver.life;
  run.fence = NewFence();
  run.handover = handover;
  Record(service, run);
}

void KeyAssigner::Record(const std::string& service, const OwnedRun& run) {
  m_tables[service].Assign(run);
  m_changes.push_back({service, run});
  OwnedRun withdrawn = run;
  withdrawn.owner.clear();
  withdrawn.life = {};
  m_withdrawals.push_back({service, withdrawn});
}

}  // namespace citrongrade
