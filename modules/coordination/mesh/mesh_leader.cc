#include "modules/coordination/mesh/mesh_leader.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace citrongrade {

namespace {

// Assumed until a target has reported its mean service time.
constexpr double kDefaultServiceTimeSeconds = 0.15;
// Share of its capacity that a target reaches during its cold start, where
// nothing limits its requests.
constexpr double kColdCapacityFactor = 0.5;
// Time in which a new store reader has to get its first answer from the store.
constexpr std::chrono::milliseconds kStoreReaderTimeout{600};
// After this many consecutive readers without an answer, less fit hosts are
// tried as well.
constexpr unsigned kMaxFailedFitReaders = 6;
// Maximum time for which the stored record shows completed moves as still in
// progress. The next leader requests each of these moves again, at the cost of
// one extra command. Storing each completion at once would double the writes.
constexpr std::chrono::milliseconds kMaxCompletedMoveDelay{1000};
// A leader resigns in favour of a host whose fitness is at least this many
// times its own.
constexpr std::uint32_t kMinFitnessRatio = 2;
// Minimum time for which a leader leads, and for which its successor has been
// present, before the leader resigns to it. It is longer than
// MeshTiming::min_lease, so that the work left by the previous change of leader
// is done and only nodes that stay are chosen.
constexpr std::chrono::milliseconds kMinLeaderTenure{3000};
// Delay after a change of leader in which no keys are assigned, so that most
// nodes have sent a heartbeat.
constexpr std::chrono::milliseconds kFirstHeartbeatsDelay{700};

// Requests a second, without regard to a limit that the target names.
double UnlimitedCapacityOf(const Heartbeat& heartbeat) {
  const double service_time_s = heartbeat.mean_service_time_us > 0
                                    ? heartbeat.mean_service_time_us / 1e6
                                    : kDefaultServiceTimeSeconds;
  const double slots = std::max<std::uint32_t>(1, heartbeat.target.concurrency);
  const double capacity = slots / service_time_s;
  if (heartbeat.target.warm_up_left_ms == 0)
    return capacity;
  const double limit = heartbeat.target.cold_requests_per_second;
  return limit > 0 ? std::min(limit, capacity) : capacity * kColdCapacityFactor;
}

std::chrono::milliseconds MillisecondsFrom(std::uint32_t microseconds) {
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::microseconds(microseconds));
}

// Whether no keys have been assigned yet. An earlier leader may have stored the
// tables before that.
bool IsNewMesh(const MeshRecord& record) {
  return std::all_of(
      record.tables.begin(), record.tables.end(), [](const auto& entry) {
        const std::vector<SlotAssignment>& runs = entry.second.assignments();
        return std::none_of(
            runs.begin(), runs.end(),
            [](const SlotAssignment& run) { return run.has_owner(); });
      });
}

double CapacityOf(const Heartbeat& heartbeat) {
  const double capacity = UnlimitedCapacityOf(heartbeat);
  const double named = heartbeat.target.named_requests_per_second;
  return named > 0 ? std::min(named, capacity) : capacity;
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
      m_leading_since(clock.Now()),
      m_is_new_mesh(IsNewMesh(claimed)),
      m_stored_record(claimed),
      m_leadership_lease(clock,
                         timing.vote_duration,
                         timing.max_clock_drift,
                         self),
      m_lease_duration(clock, timing, claimed.max_lease),
      m_previous_leases_end(clock.Now() +
                            m_lease_duration.MaxDurationInForce() +
                            timing.max_clock_drift),
      m_assigner(claimed.epoch, claimed.tables),
      m_round_started(clock.Now()),
      m_crash_ledger(clock, claimed.crash_suspects),
      m_departure_ledger(clock, claimed.departures) {
  m_leadership_lease.SetVoters(claimed.voters);
  m_view.BeginEpoch(claimed.epoch);
  for (const auto& [service, table] : claimed.tables)
    m_view.SetTable(service, table);
}

void MeshLeader::SetShardedServices(const std::set<std::string>& services) {
  for (const std::string& service : services)
    m_assigner.AddService(service);
}

void MeshLeader::OnVote(const std::string& voter,
                        Clock::TimePoint requested_at) {
  m_leadership_lease.OnPromise(voter, requested_at);
}

void MeshLeader::OnHeartbeat(const Heartbeat& heartbeat) {
  const Clock::TimePoint now = m_clock.Now();
  const auto [found, is_new] = m_nodes.try_emplace(heartbeat.address);
  Node& node = found->second;
  const bool is_restart =
      !is_new && node.last_heartbeat.incarnation != heartbeat.incarnation;
  // Ignores a heartbeat that arrives out of order, because its content is
  // outdated.
  if (!is_new && !is_restart &&
      heartbeat.sequence <= node.last_heartbeat.sequence)
    return;
  if (is_new || is_restart) {
    node.first_heard = now;
    node.is_restarted = is_restart;
    node.has_promised = false;
  }
  node.last_heard = now;
  if (heartbeat.is_vote_promised && heartbeat.leader_nonce == m_nonce) {
    const Clock::TimePoint stamp{
        std::chrono::nanoseconds(heartbeat.leader_stamp_ns)};
    if (stamp <= now) {
      m_leadership_lease.OnPromise(heartbeat.address, stamp);
      node.has_promised = true;
    }
  }
  m_assigner.AddRequestCounts(heartbeat.target.service,
                              heartbeat.slot_request_counts);
  for (const Heartbeat::ReleasedRange& released : heartbeat.released) {
    if (HasAuthority())
      m_assigner.OnReleased(heartbeat.address, released);
  }
  m_crash_ledger.OnHeartbeat(heartbeat);
  m_departure_ledger.OnHeartbeat(heartbeat);
  const Heartbeat::Target& known = node.last_heartbeat.target;
  if (heartbeat.target.state == Heartbeat::TargetState::kServing &&
      (known.state != Heartbeat::TargetState::kServing ||
       known.incarnation != heartbeat.target.incarnation))
    node.target_registered = now;
  node.last_heartbeat = heartbeat;
  PublishMember(node);
  PublishBeforeStore();
}

void MeshLeader::PublishBeforeStore() {
  for (const KeyAssigner::Change& change : m_assigner.TakeWithdrawals())
    m_view.Assign(change.service, change.assignment);
  for (const KeyAssigner::Change& change : m_assigner.TakeCompletedMoves()) {
    if (!IsNextOwnerStored(change))
      continue;
    PublishAssignment(change);
    if (m_published_unstored++ == 0)
      m_first_published_unstored = m_clock.Now();
  }
}

bool MeshLeader::IsNextOwnerStored(const KeyAssigner::Change& change) const {
  const auto table = m_stored_record.tables.find(change.service);
  if (table == m_stored_record.tables.end())
    return false;
  const SlotAssignment& now = change.assignment;
  const NextOwner next{now.owner, now.incarnation, now.fence};
  const auto stored = table->second.AssignmentsIn(now.range);
  return std::all_of(stored.begin(), stored.end(),
                     [&next](const SlotAssignment& assignment) {
                       return assignment.next == next;
                     });
}

bool MeshLeader::IsStoreReader(const std::string& address) const {
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
        current != m_nodes.end() && !IsTimedOut(current->second);
    if (is_there && current->second.last_heartbeat.is_store_answering) {
      m_failed_reader_choices = 0;
      continue;
    }
    if (is_there && now - reader.since < kStoreReaderTimeout)
      continue;
    const std::string next = NextStoreReader(reader.address);
    if (next.empty())
      continue;
    reader = {next, now};
    ++m_failed_reader_choices;
  }
}

std::string MeshLeader::NextStoreReader(const std::string& previous) const {
  const auto is_eligible = [&](const auto& entry) {
    return entry.first != m_self && entry.first != previous &&
           !IsTimedOut(entry.second) &&
           !entry.second.last_heartbeat.is_leaving &&
           !IsStoreReader(entry.first);
  };
  // Excludes less fit hosts: a long configuration document occupies a weak
  // host's network link and event loop for most of a second.
  std::uint32_t min_fitness = 0;
  if (m_failed_reader_choices < kMaxFailedFitReaders) {
    for (const auto& entry : m_nodes) {
      if (is_eligible(entry))
        min_fitness = std::max(
            min_fitness, entry.second.last_heartbeat.leader_fitness_milli);
    }
  }
  auto next = m_nodes.upper_bound(previous);
  for (std::size_t i = 0; i < m_nodes.size(); ++i, ++next) {
    if (next == m_nodes.end())
      next = m_nodes.begin();
    if (is_eligible(*next) &&
        next->second.last_heartbeat.leader_fitness_milli >= min_fitness)
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
  reply.max_lease_ms =
      static_cast<std::uint32_t>(m_lease_duration.MaxDurationInForce().count());
  reply.stamp_ns = std::chrono::nanoseconds(now.time_since_epoch()).count();
  reply.view = m_view.ChangesSince(heartbeat.epoch, heartbeat.view_version,
                                   heartbeat.address);
  reply.crash_report =
      m_crash_ledger.MakeReply(heartbeat, heartbeat.leader_nonce == m_nonce);
  reply.departures = m_departure_ledger.MakeReply(heartbeat.address);
  const auto found = m_nodes.find(heartbeat.address);
  if (found == m_nodes.end() || !HasAuthority())
    return reply;
  Node& node = found->second;
  const std::chrono::milliseconds lease = LeaseFor(heartbeat);
  reply.lease_ms = static_cast<std::uint32_t>(lease.count());
  // An earlier lease may have been longer.
  node.lease_until =
      std::max(node.lease_until, now + lease + m_timing.max_clock_drift);
  reply.reads_store = IsStoreReader(heartbeat.address);
  return reply;
}

bool MeshLeader::NeedsImmediateReply(const Heartbeat& heartbeat) const {
  if (m_has_resigned || heartbeat.is_urgent ||
      heartbeat.epoch != m_view.epoch())
    return true;
  // A target waits for the confirmation that it leaves. A node that names no
  // version runs an earlier program, or hears this leader for the first time.
  const std::uint64_t known_version = heartbeat.departures.known_version;
  if (HasAuthority() && heartbeat.leader_nonce == m_nonce &&
      known_version > 0 &&
      known_version < m_departure_ledger.VersionOf(heartbeat.address))
    return true;
  // A change to the node's own keys can't wait for the next update to all
  // nodes.
  const auto concerned = m_required_view_versions.find(heartbeat.address);
  return concerned != m_required_view_versions.end() &&
         concerned->second > heartbeat.view_version;
}

bool MeshLeader::HasAuthority() const {
  return !m_has_resigned && m_leadership_lease.IsValid();
}

bool MeshLeader::IsTimedOut(const Node& node) const {
  return m_clock.Now() - node.last_heard > m_timing.member_timeout;
}

MeshMember::State MeshLeader::StateOf(const Node& node) const {
  if (IsTimedOut(node))
    return MeshMember::State::kAbsent;
  switch (node.last_heartbeat.target.state) {
    case Heartbeat::TargetState::kUnknown:
    case Heartbeat::TargetState::kGone:
      return MeshMember::State::kAbsent;
    case Heartbeat::TargetState::kDraining:
      return MeshMember::State::kDraining;
    case Heartbeat::TargetState::kServing:
      return node.last_heartbeat.is_leaving ||
                     m_evacuated_zones.contains(node.last_heartbeat.zone)
                 ? MeshMember::State::kDraining
                 : MeshMember::State::kServing;
  }
  return MeshMember::State::kAbsent;
}

void MeshLeader::PublishMember(const Node& node) {
  MeshMember member;
  member.address = node.last_heartbeat.address;
  member.data_address = node.last_heartbeat.data_address;
  member.zone = node.last_heartbeat.zone;
  member.service = node.last_heartbeat.target.service;
  member.target = node.last_heartbeat.target.incarnation;
  member.concurrency = node.last_heartbeat.target.concurrency;
  member.state = StateOf(node);
  member.leader_fitness_milli = node.last_heartbeat.leader_fitness_milli;
  m_view.SetMember(member);
}

bool MeshLeader::MayHoldEarlierGrants(const Node& node) const {
  return m_clock.Now() - node.first_heard <=
         m_lease_duration.MaxDurationInForce() + m_timing.max_clock_drift;
}

std::optional<OwnershipEnd> MeshLeader::FindOwnershipEnd(
    const SlotAssignment& assignment) const {
  using Evidence = OwnershipEnd::Evidence;
  const Clock::TimePoint now = m_clock.Now();
  // Evidence that counts once `since` has passed.
  const auto end_since = [now](Evidence evidence, Clock::TimePoint since) {
    const auto age = std::chrono::floor<std::chrono::milliseconds>(now - since);
    return now > since ? std::optional(OwnershipEnd{evidence, age})
                       : std::nullopt;
  };
  const auto found = m_nodes.find(assignment.owner);
  // The previous leader may have granted the node a lease until the end of its
  // leadership.
  if (found == m_nodes.end())
    return end_since(Evidence::kEarlierLeasesExpired, m_previous_leases_end);
  const Node& node = found->second;
  const Heartbeat::Target& target = node.last_heartbeat.target;
  const auto heard_age =
      std::chrono::floor<std::chrono::milliseconds>(now - node.last_heard);
  switch (target.state) {
    case Heartbeat::TargetState::kUnknown:
      // The node's process is new; the leases of its earlier process expire in
      // the meantime.
      return MayHoldEarlierGrants(node)
                 ? std::nullopt
                 : end_since(Evidence::kEarlierLeasesExpired,
                             m_previous_leases_end);
    case Heartbeat::TargetState::kGone:
      return OwnershipEnd{Evidence::kTargetGone, heard_age};
    case Heartbeat::TargetState::kServing:
    case Heartbeat::TargetState::kDraining:
      // A new process alone proves nothing: the report may be a late one of an
      // earlier process, and grants may have reached the new one.
      if (target.incarnation != assignment.incarnation &&
          !target.has_earlier_grants)
        return OwnershipEnd{Evidence::kNewIncarnation, heard_age};
      return IsTimedOut(node)
                 ? end_since(Evidence::kLeaseExpired,
                             std::max(node.lease_until, m_previous_leases_end))
                 : std::nullopt;
  }
  return std::nullopt;
}

bool MeshLeader::IsPlacementAllowed() const {
  const Clock::Duration elapsed = m_clock.Now() - m_leading_since;
  if (!m_is_new_mesh)
    return elapsed > kFirstHeartbeatsDelay;
  if (elapsed <= m_timing.initial_placement_delay)
    return false;
  return elapsed > m_timing.max_initial_placement_delay ||
         !AreTargetsRegistering();
}

bool MeshLeader::AreTargetsRegistering() const {
  const Clock::TimePoint now = m_clock.Now();
  return std::any_of(
      m_nodes.begin(), m_nodes.end(), [this, now](const auto& entry) {
        const Node& node = entry.second;
        const Heartbeat::Target& target = node.last_heartbeat.target;
        return target.state == Heartbeat::TargetState::kServing &&
               m_assigner.tables().contains(target.service) &&
               now - node.target_registered < m_timing.initial_placement_quiet;
      });
}

std::vector<KeyAssigner::Member> MeshLeader::AssignableMembers() const {
  std::vector<KeyAssigner::Member> members;
  for (const auto& [address, node] : m_nodes) {
    const MeshMember::State state = StateOf(node);
    if (state == MeshMember::State::kAbsent)
      continue;
    KeyAssigner::Member member;
    member.address = address;
    member.service = node.last_heartbeat.target.service;
    member.incarnation = node.last_heartbeat.target.incarnation;
    member.may_receive = state == MeshMember::State::kServing;
    // A range that moves from it would be out of service until then.
    member.may_give = !node.is_restarted || !MayHoldEarlierGrants(node);
    member.must_drain = state == MeshMember::State::kDraining;
    member.capacity = CapacityOf(node.last_heartbeat);
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
  UpdateAssignments();
  PublishBeforeStore();
}

void MeshLeader::UpdateAssignments() {
  m_assigner.SetMembers(AssignableMembers());
  m_assigner.UnassignLostOwners([this](const SlotAssignment& assignment) {
    return FindOwnershipEnd(assignment);
  });
  if (!IsPlacementAllowed())
    return;
  m_is_new_mesh = false;
  m_assigner.AssignUnowned();
  m_assigner.PlanDrains();
  const Clock::Duration round = m_clock.Now() - m_round_started;
  if (round < KeyBalancer::kRoundInterval)
    return;
  m_round_started = m_clock.Now();
  UpdateLeaseDuration();
  m_assigner.EndMeasurementRound(std::chrono::duration<double>(round).count());
  // Doesn't rebalance while the store is unavailable: released keys could not
  // be assigned again and would stay without an owner until the store is back.
  const auto self = m_nodes.find(m_self);
  if (self != m_nodes.end() && self->second.last_heartbeat.is_store_answering)
    m_assigner.PlanRebalancing();
}

void MeshLeader::UpdateLeaseDuration() {
  std::vector<std::chrono::milliseconds> means;
  std::vector<std::chrono::milliseconds> long_runs;
  for (const auto& [address, node] : m_nodes) {
    const Heartbeat& heartbeat = node.last_heartbeat;
    if (IsTimedOut(node) ||
        !m_assigner.tables().contains(heartbeat.target.service))
      continue;
    if (heartbeat.long_run_us > 0)
      long_runs.push_back(MillisecondsFrom(heartbeat.long_run_us));
    else if (heartbeat.mean_service_time_us > 0)
      means.push_back(MillisecondsFrom(heartbeat.mean_service_time_us));
  }
  m_lease_duration.UpdateServiceTimes(std::move(means));
  m_lease_duration.UpdateLongRuns(long_runs);
}

std::chrono::milliseconds MeshLeader::LeaseFor(
    const Heartbeat& heartbeat) const {
  return heartbeat.long_run_us > 0
             ? m_lease_duration.DurationToGrant(
                   MillisecondsFrom(heartbeat.long_run_us))
             : m_lease_duration.DurationToGrant();
}

std::vector<std::string> MeshLeader::DesiredVoters() const {
  std::set<std::string> wanted{m_self};
  const Clock::TimePoint now = m_clock.Now();
  // A node that has just started doesn't promise its vote yet. If it became a
  // voter at once, half of the votes would be missing in a new mesh.
  for (const auto& [address, node] : m_nodes) {
    if (now - node.last_heard < m_timing.voter_timeout && node.has_promised)
      wanted.insert(address);
  }
  for (const std::string& voter : m_stored_record.voters) {
    const auto found = m_nodes.find(voter);
    if (found != m_nodes.end() &&
        now - found->second.last_heard < m_timing.voter_timeout)
      wanted.insert(voter);
  }
  for (const std::string& voter : m_stored_record.voters) {
    if (!m_nodes.contains(voter) &&
        now - m_leading_since < m_timing.voter_timeout)
      wanted.insert(voter);
  }
  return {wanted.begin(), wanted.end()};
}

bool MeshLeader::NeedsStore() const {
  if (m_crash_ledger.NeedsStore() || m_departure_ledger.NeedsStore())
    return true;
  if (m_assigner.change_count() > m_published_unstored)
    return true;
  return m_published_unstored > 0 &&
         m_clock.Now() - m_first_published_unstored > kMaxCompletedMoveDelay;
}

std::optional<MeshRecord> MeshLeader::RecordToStore() {
  if (m_pending_record || !HasAuthority())
    return std::nullopt;
  std::vector<std::string> voters = DesiredVoters();
  const std::chrono::milliseconds longest_lease =
      m_lease_duration.DurationToStore();
  if (!NeedsStore() && voters == m_stored_record.voters &&
      longest_lease == m_lease_duration.MaxDurationInForce())
    return std::nullopt;
  m_lease_duration.OnStoreStarted(longest_lease);
  m_published_unstored = 0;
  m_pending_changes = m_assigner.TakeChanges();
  m_pending_record = m_stored_record;
  m_pending_record->tables = m_assigner.tables();
  m_pending_record->max_lease = longest_lease;
  m_pending_record->crash_suspects = m_crash_ledger.BeginStore();
  m_pending_record->departures = m_departure_ledger.BeginStore();
  if (voters != m_stored_record.voters) {
    m_leadership_lease.SetPendingVoters(voters);
    m_pending_record->voters = std::move(voters);
  }
  return m_pending_record;
}

void MeshLeader::OnStored() {
  // The caller also reports the end of writes that RecordToStore() did not
  // start.
  if (!m_pending_record)
    return;
  m_stored_record = *std::exchange(m_pending_record, std::nullopt);
  m_leadership_lease.SetVoters(m_stored_record.voters);
  m_lease_duration.OnStoreCompleted();
  m_crash_ledger.OnStored();
  m_departure_ledger.OnStored();
  for (const KeyAssigner::Change& change : std::exchange(m_pending_changes, {}))
    PublishAssignment(change);
}

void MeshLeader::PublishAssignment(const KeyAssigner::Change& change) {
  // Publishes only what is still current. If the owner was lost while the
  // change was being stored, it would otherwise hold keys that the next change
  // assigns to another node.
  const KeyTable& current = m_assigner.tables().at(change.service);
  for (SlotAssignment assignment :
       current.AssignmentsIn(change.assignment.range)) {
    if (!assignment.SameAssignment(change.assignment))
      continue;
    assignment.range = assignment.range.Intersection(change.assignment.range);
    m_view.Assign(change.service, assignment);
    m_required_view_versions[assignment.owner] = m_view.version();
  }
}

void MeshLeader::Resign(const std::string& successor) {
  m_has_resigned = true;
  m_successor = successor;
}

const MeshLeader::Node* MeshLeader::FindBestSuccessor() const {
  const Node* best = nullptr;
  for (const auto& [address, node] : m_nodes) {
    if (address == m_self || IsTimedOut(node) || node.last_heartbeat.is_leaving)
      continue;
    const auto fitness = [](const Node& one) {
      return std::pair(one.last_heartbeat.is_store_answering,
                       one.last_heartbeat.leader_fitness_milli);
    };
    if (best == nullptr || fitness(node) > fitness(*best))
      best = &node;
  }
  return best;
}

std::string MeshLeader::FindSuccessor() const {
  const Node* best = FindBestSuccessor();
  return best == nullptr ? std::string() : best->last_heartbeat.address;
}

std::string MeshLeader::FindFitterLeader() const {
  const auto self = m_nodes.find(m_self);
  const Clock::TimePoint now = m_clock.Now();
  const bool is_change_allowed =
      now - m_leading_since > kMinLeaderTenure && !m_pending_record;
  if (self == m_nodes.end() || !is_change_allowed || !HasAuthority())
    return {};
  const Node* best = FindBestSuccessor();
  if (best == nullptr || !best->last_heartbeat.is_store_answering ||
      now - best->first_heard < kMinLeaderTenure)
    return {};
  const std::uint32_t own_fitness =
      self->second.last_heartbeat.leader_fitness_milli;
  const std::uint32_t best_fitness = best->last_heartbeat.leader_fitness_milli;
  const bool is_far_fitter = best_fitness > own_fitness &&
                             best_fitness >= kMinFitnessRatio * own_fitness;
  return is_far_fitter ? best->last_heartbeat.address : std::string();
}

bool MeshLeader::CanSuccessorReachStore() const {
  const auto found = m_nodes.find(FindSuccessor());
  return found != m_nodes.end() &&
         found->second.last_heartbeat.is_store_answering;
}

std::vector<std::string> MeshLeader::MissingVoters() const {
  std::vector<std::string> missing;
  for (const std::string& voter : m_stored_record.voters) {
    const auto found = m_nodes.find(voter);
    if (voter != m_self &&
        (found == m_nodes.end() || IsTimedOut(found->second)))
      missing.push_back(voter);
  }
  return missing;
}

}  // namespace citrongrade
