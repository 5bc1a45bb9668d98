#include "modules/coordination/mesh/mesh_leader.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace citrongrade {

namespace {

// Until a target has shown how long it takes.
constexpr double kAssumedWorkSeconds = 0.15;
// A target that is still slow after its start does so much.
constexpr double kColdCapacity = 0.5;
// Crashes are told to every node once; older ones are known by then.
constexpr std::size_t kMaxSuspects = 1024;
// A node that is to read the store has its first answer within this.
constexpr std::chrono::milliseconds kReaderTrial{600};
// After so many in a row without an answer, those on weak hosts are tried too.
constexpr unsigned kVainFitReaders = 6;
// Moves that are over stand in the record as if they still went on for at most
// this long. Each is then asked for again by the next leader: an order more. To
// store each at once would double the writes.
constexpr std::chrono::milliseconds kMovesUnmarked{1000};
// A leader gives way to a host that is so many times as fit.
constexpr std::uint32_t kFitter = 2;
// And no sooner than this: longer than a lease, so that what the change of
// leader before left to be done is done, and whoever is named has stayed.
constexpr std::chrono::milliseconds kBeforeGivingWay{3000};
// Keys stay where they are until most nodes have had time to report.
constexpr std::chrono::milliseconds kFirstReports{700};

double CapacityOf(const Heartbeat& last) {
  const double work =
      last.mean_work_us > 0 ? last.mean_work_us / 1e6 : kAssumedWorkSeconds;
  const double slots = std::max<std::uint32_t>(1, last.target.slots);
  const double capacity = slots / work;
  return last.target.cold_ms > 0 ? capacity * kColdCapacity : capacity;
}

}  // namespace

MeshLeader::MeshLeader(const Clock& clock,
                       const MeshTiming& timing,
                       const std::string& self,
                       std::uint64_t nonce,
                       const MeshRecord& claimed)
    : m_clock(clock),
      m_timing(timing),
      m_self(self),
      m_nonce(nonce),
      m_started(clock.Now()),
      m_is_new_mesh(claimed.tables.empty()),
      m_stored(claimed),
      m_lease(clock, timing.promise, timing.drift, self),
      m_lease_length(clock, timing, claimed.longest_lease),
      m_earlier_ended(clock.Now() + m_lease_length.Longest() + timing.drift),
      m_assigner(claimed.epoch, claimed.tables),
      m_round_began(clock.Now()) {
  m_lease.SetVoters(claimed.voters);
  m_view.BeginEpoch(claimed.epoch);
  for (const auto& [service, table] : claimed.tables)
    m_view.SetTable(service, table);
}

void MeshLeader::SetDividedServices(const std::set<std::string>& services) {
  for (const std::string& service : services)
    m_assigner.AddService(service);
}

void MeshLeader::OnVote(const std::string& voter, Clock::TimePoint asked) {
  m_lease.OnPromise(voter, asked);
}

void MeshLeader::OnHeartbeat(const Heartbeat& heartbeat) {
  const Clock::TimePoint now = m_clock.Now();
  const auto [found, is_new] = m_nodes.try_emplace(heartbeat.address);
  Node& node = found->second;
  const bool is_restart =
      !is_new && node.last.incarnation != heartbeat.incarnation;
  // A heartbeat that was overtaken says what is no longer so.
  if (!is_new && !is_restart && heartbeat.sequence <= node.last.sequence)
    return;
  if (is_new || is_restart) {
    node.first_heard = now;
    node.suspects_seen = 0;
    node.has_promised = false;
  }
  node.heard = now;
  if (heartbeat.promises && heartbeat.leader_nonce == m_nonce) {
    const Clock::TimePoint stamp{
        std::chrono::nanoseconds(heartbeat.leader_stamp_ns)};
    if (stamp <= now) {
      m_lease.OnPromise(heartbeat.address, stamp);
      node.has_promised = true;
    }
  }
  m_assigner.CountArrivals(heartbeat.target.service, heartbeat.arrivals);
  for (const Heartbeat::Released& released : heartbeat.released) {
    if (HasAuthority())
      m_assigner.OnReleased(heartbeat.address, released);
  }
  for (const std::uint64_t suspect : heartbeat.crash_suspects) {
    if (m_crash_suspects.size() < kMaxSuspects)
      m_crash_suspects.push_back(suspect);
  }
  node.last = heartbeat;
  PublishMember(node);
  PublishWithdrawals();
}

void MeshLeader::PublishWithdrawals() {
  for (const KeyAssigner::Change& change : m_assigner.TakeWithdrawals())
    m_view.Assign(change.service, change.run);
  for (const KeyAssigner::Change& change : m_assigner.TakeCompletedMoves()) {
    if (!IsStoredMove(change))
      continue;
    PublishStored(change);
    if (m_published_early++ == 0)
      m_first_published_early = m_clock.Now();
  }
}

bool MeshLeader::IsStoredMove(const KeyAssigner::Change& change) const {
  const auto table = m_stored.tables.find(change.service);
  if (table == m_stored.tables.end())
    return false;
  const OwnedRun& now = change.run;
  const NextOwner next{now.owner, now.life, now.fence};
  const auto stored = table->second.RunsIn(now.range);
  return std::all_of(stored.begin(), stored.end(),
                     [&next](const OwnedRun& run) { return run.next == next; });
}

bool MeshLeader::ReadsStore(const std::string& address) const {
  return std::any_of(m_store_readers.begin(), m_store_readers.end(),
                     [&address](const StoreReader& reader) {
                       return reader.address == address;
                     });
}

void MeshLeader::ChooseStoreReaders() {
  const Clock::TimePoint now = m_clock.Now();
  for (StoreReader& reader : m_store_readers) {
    const auto current = m_nodes.find(reader.address);
    const bool is_there =
        current != m_nodes.end() && !IsSilent(current->second);
    if (is_there && current->second.last.store_answers) {
      m_vain_readers = 0;
      continue;
    }
    if (is_there && now - reader.since < kReaderTrial)
      continue;
    const std::string next = FindStoreReader(reader.address);
    if (next.empty())
      continue;
    reader = {next, now};
    ++m_vain_readers;
  }
}

std::string MeshLeader::FindStoreReader(const std::string& previous) const {
  const auto is_eligible = [&](const auto& entry) {
    return entry.first != m_self && entry.first != previous &&
           !IsSilent(entry.second) && !entry.second.last.is_leaving &&
           !ReadsStore(entry.first);
  };
  // A long document takes a weak host's link and loop for most of a second.
  std::uint32_t least_merit = 0;
  if (m_vain_readers < kVainFitReaders) {
    for (const auto& entry : m_nodes) {
      if (is_eligible(entry))
        least_merit =
            std::max(least_merit, entry.second.last.leader_merit_milli);
    }
  }
  auto next = m_nodes.upper_bound(previous);
  for (std::size_t i = 0; i < m_nodes.size(); ++i, ++next) {
    if (next == m_nodes.end())
      next = m_nodes.begin();
    if (is_eligible(*next) &&
        next->second.last.leader_merit_milli >= least_merit)
      return next->first;
  }
  return {};
}

HeartbeatReply MeshLeader::MakeReply(const Heartbeat& heartbeat) {
  HeartbeatReply reply;
  reply.leader_hint = m_has_resigned ? m_successor : m_self;
  reply.has_resigned = m_has_resigned;
  if (m_has_resigned)
    return reply;
  reply.is_leader = true;
  const Clock::TimePoint now = m_clock.Now();
  reply.nonce = m_nonce;
  reply.longest_lease_ms =
      static_cast<std::uint32_t>(m_lease_length.Longest().count());
  reply.stamp_ns = std::chrono::nanoseconds(now.time_since_epoch()).count();
  reply.view = m_view.ChangesSince(heartbeat.epoch, heartbeat.view_version,
                                   heartbeat.address);
  const auto found = m_nodes.find(heartbeat.address);
  if (found == m_nodes.end() || !HasAuthority())
    return reply;
  Node& node = found->second;
  const std::chrono::milliseconds lease = m_lease_length.ToGrant();
  reply.lease_ms = static_cast<std::uint32_t>(lease.count());
  // An earlier one may have been longer.
  node.lease_until = std::max(node.lease_until, now + lease + m_timing.drift);
  reply.follow_store = ReadsStore(heartbeat.address);
  reply.crash_suspects.assign(
      m_crash_suspects.begin() +
          static_cast<std::ptrdiff_t>(node.suspects_seen),
      m_crash_suspects.end());
  node.suspects_seen = m_crash_suspects.size();
  return reply;
}

bool MeshLeader::HasNewsFor(const Heartbeat& heartbeat) const {
  if (m_has_resigned || heartbeat.is_urgent ||
      heartbeat.epoch != m_view.epoch())
    return true;
  // What concerns the node itself can't wait for the next news for all.
  const auto concerned = m_concerned.find(heartbeat.address);
  return concerned != m_concerned.end() &&
         concerned->second > heartbeat.view_version;
}

bool MeshLeader::HasAuthority() const {
  return !m_has_resigned && m_lease.IsValid();
}

bool MeshLeader::IsSilent(const Node& node) const {
  return m_clock.Now() - node.heard > m_timing.silence;
}

MeshMember::State MeshLeader::StateOf(const Node& node) const {
  if (IsSilent(node))
    return MeshMember::State::kAbsent;
  switch (node.last.target.state) {
    case Heartbeat::TargetState::kUnheard:
    case Heartbeat::TargetState::kGone:
      return MeshMember::State::kAbsent;
    case Heartbeat::TargetState::kDraining:
      return MeshMember::State::kDraining;
    case Heartbeat::TargetState::kServing:
      return node.last.is_leaving ? MeshMember::State::kDraining
                                  : MeshMember::State::kServing;
  }
  return MeshMember::State::kAbsent;
}

void MeshLeader::PublishMember(const Node& node) {
  MeshMember member;
  member.address = node.last.address;
  member.data_address = node.last.data_address;
  member.zone = node.last.zone;
  member.service = node.last.target.service;
  member.target = node.last.target.life;
  member.slots = node.last.target.slots;
  member.state = StateOf(node);
  member.leader_merit_milli = node.last.leader_merit_milli;
  m_view.SetMember(member);
}

bool MeshLeader::IsLost(const OwnedRun& run) const {
  const Clock::TimePoint now = m_clock.Now();
  const auto found = m_nodes.find(run.owner);
  // The leader before may have granted it a lease up to the very end.
  if (found == m_nodes.end())
    return now > m_earlier_ended;
  const Node& node = found->second;
  switch (node.last.target.state) {
    case Heartbeat::TargetState::kUnheard:
      // Its process is new: what an earlier one granted runs out meanwhile.
      return now > m_earlier_ended &&
             now - node.first_heard > m_lease_length.Longest() + m_timing.drift;
    case Heartbeat::TargetState::kGone:
      return true;
    case Heartbeat::TargetState::kServing:
    case Heartbeat::TargetState::kDraining:
      if (node.last.target.life != run.life)
        return true;
      return now > std::max(node.lease_until, m_earlier_ended) &&
             IsSilent(node);
  }
  return false;
}

bool MeshLeader::IsSettled() const {
  const Clock::Duration wait = m_is_new_mesh ? m_timing.settle : kFirstReports;
  return m_clock.Now() > m_started + wait;
}

std::vector<KeyAssigner::Member> MeshLeader::AssignableMembers() const {
  std::vector<KeyAssigner::Member> members;
  for (const auto& [address, node] : m_nodes) {
    const MeshMember::State state = StateOf(node);
    if (state == MeshMember::State::kAbsent)
      continue;
    KeyAssigner::Member member;
    member.address = address;
    member.service = node.last.target.service;
    member.life = node.last.target.life;
    member.may_receive = state == MeshMember::State::kServing;
    member.must_give = state == MeshMember::State::kDraining;
    member.capacity = CapacityOf(node.last);
    members.push_back(member);
  }
  return members;
}

void MeshLeader::Tick() {
  for (const auto& [address, node] : m_nodes)
    PublishMember(node);
  ChooseStoreReaders();
  if (!HasAuthority())
    return;
  MoveKeys();
  PublishWithdrawals();
}

void MeshLeader::MoveKeys() {
  m_assigner.SetMembers(AssignableMembers());
  m_assigner.FreeLost([this](const OwnedRun& run) { return IsLost(run); });
  if (!IsSettled())
    return;
  m_assigner.PlaceUnowned();
  m_assigner.OrderDrains();
  const Clock::Duration round = m_clock.Now() - m_round_began;
  if (round < KeyBalancer::kRound)
    return;
  m_round_began = m_clock.Now();
  m_lease_length.OnWork(MeanWorkOfOwners());
  m_assigner.EndRound(std::chrono::duration<double>(round).count());
  // Keys that are given back can't be given on while the store is away: they
  // would be nobody's until it is back.
  const auto self = m_nodes.find(m_self);
  if (self != m_nodes.end() && self->second.last.store_answers)
    m_assigner.OrderBalance();
}

std::vector<std::chrono::milliseconds> MeshLeader::MeanWorkOfOwners() const {
  std::vector<std::chrono::milliseconds> means;
  for (const auto& [address, node] : m_nodes) {
    const bool has_keys =
        m_assigner.tables().contains(node.last.target.service);
    if (has_keys && node.last.mean_work_us > 0 && !IsSilent(node)) {
      means.push_back(std::chrono::ceil<std::chrono::milliseconds>(
          std::chrono::microseconds(node.last.mean_work_us)));
    }
  }
  return means;
}

std::vector<std::string> MeshLeader::WantedVoters() const {
  std::set<std::string> wanted{m_self};
  const Clock::TimePoint now = m_clock.Now();
  // One that has just started promises nothing yet: with it, half of the votes
  // of a young mesh would be missing.
  for (const auto& [address, node] : m_nodes) {
    if (now - node.heard < m_timing.voter_silence && node.has_promised)
      wanted.insert(address);
  }
  for (const std::string& voter : m_stored.voters) {
    const auto found = m_nodes.find(voter);
    if (found != m_nodes.end() &&
        now - found->second.heard < m_timing.voter_silence)
      wanted.insert(voter);
  }
  for (const std::string& voter : m_stored.voters) {
    if (!m_nodes.contains(voter) && now - m_started < m_timing.voter_silence)
      wanted.insert(voter);
  }
  return {wanted.begin(), wanted.end()};
}

bool MeshLeader::MustStoreChanges() const {
  if (m_assigner.change_count() > m_published_early)
    return true;
  return m_published_early > 0 &&
         m_clock.Now() - m_first_published_early > kMovesUnmarked;
}

std::optional<MeshRecord> MeshLeader::RecordToStore() {
  if (m_storing || !HasAuthority())
    return std::nullopt;
  std::vector<std::string> voters = WantedVoters();
  const std::chrono::milliseconds longest_lease = m_lease_length.ToStore();
  if (!MustStoreChanges() && voters == m_stored.voters &&
      longest_lease == m_lease_length.Longest())
    return std::nullopt;
  m_lease_length.OnStoring(longest_lease);
  m_published_early = 0;
  m_storing_changes = m_assigner.TakeChanges();
  m_storing = m_stored;
  m_storing->tables = m_assigner.tables();
  m_storing->longest_lease = longest_lease;
  if (voters != m_stored.voters) {
    m_lease.SetNextVoters(voters);
    m_storing->voters = std::move(voters);
  }
  return m_storing;
}

void MeshLeader::OnStored() {
  // The caller reports the end of a write that RecordToStore() did not begin.
  if (!m_storing)
    return;
  m_stored = *std::exchange(m_storing, std::nullopt);
  m_lease.SetVoters(m_stored.voters);
  m_lease_length.OnStored();
  for (const KeyAssigner::Change& change : std::exchange(m_storing_changes, {}))
    PublishStored(change);
}

void MeshLeader::PublishStored(const KeyAssigner::Change& change) {
  // Only what still stands: its owner may have been lost while it was being
  // stored, and would hold keys that the next change gives to another.
  const KeyTable& current = m_assigner.tables().at(change.service);
  for (OwnedRun run : current.RunsIn(change.run.range)) {
    if (!run.SameAssignment(change.run))
      continue;
    run.range = run.range.CommonPart(change.run.range);
    m_view.Assign(change.service, run);
    m_concerned[run.owner] = m_view.version();
  }
}

void MeshLeader::Resign(const std::string& successor) {
  m_has_resigned = true;
  m_successor = successor;
}

const MeshLeader::Node* MeshLeader::FindBestSuccessor() const {
  const Node* best = nullptr;
  for (const auto& [address, node] : m_nodes) {
    if (address == m_self || IsSilent(node) || node.last.is_leaving)
      continue;
    const auto merit = [](const Node& one) {
      return std::pair(one.last.store_answers, one.last.leader_merit_milli);
    };
    if (best == nullptr || merit(node) > merit(*best))
      best = &node;
  }
  return best;
}

std::string MeshLeader::FindSuccessor() const {
  const Node* best = FindBestSuccessor();
  return best == nullptr ? std::string() : best->last.address;
}

std::string MeshLeader::FindFitter() const {
  const auto self = m_nodes.find(m_self);
  const Clock::TimePoint now = m_clock.Now();
  const bool may_change = now - m_started > kBeforeGivingWay && !m_storing;
  if (self == m_nodes.end() || !may_change || !HasAuthority())
    return {};
  const Node* best = FindBestSuccessor();
  if (best == nullptr || !best->last.store_answers ||
      now - best->first_heard < kBeforeGivingWay)
    return {};
  const std::uint32_t own = self->second.last.leader_merit_milli;
  const std::uint32_t others = best->last.leader_merit_milli;
  const bool is_far_fitter = others > own && others >= kFitter * own;
  return is_far_fitter ? best->last.address : std::string();
}

bool MeshLeader::SuccessorHasStore() const {
  const auto found = m_nodes.find(FindSuccessor());
  return found != m_nodes.end() && found->second.last.store_answers;
}

std::vector<std::string> MeshLeader::MissingNodes() const {
  std::vector<std::string> missing;
  for (const std::string& voter : m_stored.voters) {
    const auto found = m_nodes.find(voter);
    if (voter != m_self && (found == m_nodes.end() || IsSilent(found->second)))
      missing.push_back(voter);
  }
  return missing;
}

}  // namespace citrongrade
