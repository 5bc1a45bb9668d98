#include "modules/protocol/mesh_message_codec.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "modules/protocol/crash_suspects_codec.h"
#include "modules/protocol/malformed_message_error.h"
#include "modules/protocol/mesh.capnp.h"
#include "modules/protocol/packed_message.h"
#include "modules/protocol/zone_evacuations_codec.h"

namespace citrongrade {

namespace {

void CheckRange(const SlotRange& range) {
  if (range.first > range.last || range.last >= kSlotCount)
    throw MalformedMessageError("not a range of slots");
}

SlotRange ReadSpan(rpc::SlotSpan::Reader span) {
  const SlotRange range{span.getFirst(), span.getLast()};
  CheckRange(range);
  return range;
}

void WriteSpan(const SlotRange& range, rpc::SlotSpan::Builder span) {
  span.setFirst(range.first);
  span.setLast(range.last);
}

void WriteRun(const std::string& service,
              const SlotAssignment& run,
              rpc::MeshOwnedRun::Builder out) {
  out.setService(service);
  WriteSpan(run.range, out.initRange());
  out.setOwner(run.owner);
  out.setTargetId(run.incarnation.id);
  out.setTargetStartedUnixMs(run.incarnation.started_unix_ms);
  out.setFence(run.fence);
  out.setHandover(run.handover);
  out.setVersion(run.version);
  out.setNextAddress(run.next.address);
  out.setNextTargetId(run.next.incarnation.id);
  out.setNextTargetStartedUnixMs(run.next.incarnation.started_unix_ms);
  out.setNextFence(run.next.fence);
}

SlotAssignment ReadRun(rpc::MeshOwnedRun::Reader in) {
  SlotAssignment run;
  run.range = ReadSpan(in.getRange());
  run.owner = in.getOwner();
  run.incarnation = {in.getTargetId(), in.getTargetStartedUnixMs()};
  run.fence = in.getFence();
  run.handover = in.getHandover();
  run.version = in.getVersion();
  run.next.address = in.getNextAddress();
  run.next.incarnation = {in.getNextTargetId(),
                          in.getNextTargetStartedUnixMs()};
  run.next.fence = in.getNextFence();
  return run;
}

void WriteMember(const MeshMember& member, rpc::MeshMemberEntry::Builder out) {
  out.setAddress(member.address);
  out.setDataAddress(member.data_address);
  out.setZone(member.zone);
  out.setService(member.service);
  out.setTargetId(member.target.id);
  out.setTargetStartedUnixMs(member.target.started_unix_ms);
  out.setSlots(member.concurrency);
  out.setState(static_cast<std::uint8_t>(member.state));
  out.setLeaderMeritMilli(member.leader_fitness_milli);
}

MeshMember ReadMember(rpc::MeshMemberEntry::Reader in) {
  MeshMember member;
  member.address = in.getAddress();
  member.data_address = in.getDataAddress();
  member.zone = in.getZone();
  member.service = in.getService();
  member.target = {in.getTargetId(), in.getTargetStartedUnixMs()};
  member.concurrency = in.getSlots();
  if (in.getState() > static_cast<std::uint8_t>(MeshMember::State::kDraining))
    throw MalformedMessageError("not a state of a member");
  member.state = static_cast<MeshMember::State>(in.getState());
  member.leader_fitness_milli = in.getLeaderMeritMilli();
  return member;
}

void WriteReleased(const std::vector<Heartbeat::ReleasedRange>& released,
                   rpc::MeshHeartbeat::Builder out) {
  auto list = out.initReleased(static_cast<unsigned>(released.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setService(released[i].service);
    WriteSpan(released[i].range, list[i].initRange());
    list[i].setFence(released[i].fence);
    list[i].setHandover(released[i].handover);
  }
}

void WriteArrivals(const std::vector<Heartbeat::SlotRequestCount>& arrivals,
                   rpc::MeshHeartbeat::Builder out) {
  auto list = out.initArrivals(static_cast<unsigned>(2 * arrivals.size()));
  for (unsigned i = 0; i < arrivals.size(); ++i) {
    list.set(2 * i, arrivals[i].slot);
    list.set(2 * i + 1, arrivals[i].count);
  }
}

Heartbeat::Target ReadTarget(rpc::MeshHeartbeat::Reader in) {
  constexpr auto kLast =
      static_cast<std::uint8_t>(Heartbeat::TargetState::kGone);
  if (in.getTargetState() > kLast)
    throw MalformedMessageError("not a state of a target");
  Heartbeat::Target target;
  target.state = static_cast<Heartbeat::TargetState>(in.getTargetState());
  target.incarnation = {in.getTargetId(), in.getTargetStartedUnixMs()};
  target.service = in.getService();
  target.concurrency = in.getSlots();
  target.has_earlier_grants = in.getHasEarlierGrants();
  target.warm_up_left_ms = in.getColdMs();
  target.cold_requests_per_second = in.getColdRequestsPerSecond();
  target.named_requests_per_second = in.getNamedRequestsPerSecond();
  return target;
}

void WriteDepartedTargets(const std::vector<DepartedTarget>& targets,
                          rpc::Departures::Builder out) {
  const auto count = static_cast<unsigned>(targets.size());
  const bool has_start_times = std::any_of(
      targets.begin(), targets.end(),
      [](const auto& target) { return target.started_unix_ms != 0; });
  auto id_hash = out.initIdHash(count);
  auto started = out.initStartedUnixMs(has_start_times ? count : 0);
  for (unsigned i = 0; i < count; ++i) {
    id_hash.set(i, targets[i].id_hash);
    if (has_start_times)
      started.set(i, targets[i].started_unix_ms);
  }
}

std::vector<DepartedTarget> ReadDepartedTargets(rpc::Departures::Reader in) {
  const auto id_hash = in.getIdHash();
  const auto started = in.getStartedUnixMs();
  if (started.size() > 0 && started.size() != id_hash.size())
    throw MalformedMessageError("columns of different lengths");
  std::vector<DepartedTarget> targets;
  for (unsigned i = 0; i < id_hash.size(); ++i)
    targets.push_back({id_hash[i], started.size() > 0 ? started[i] : 0});
  return targets;
}

void WriteDepartures(const std::vector<TargetDeparture>& departures,
                     rpc::Departures::Builder out) {
  std::vector<DepartedTarget> targets;
  auto node = out.initNode(static_cast<unsigned>(departures.size()));
  for (unsigned i = 0; i < node.size(); ++i) {
    node.set(i, departures[i].node_hash);
    targets.push_back(departures[i].target);
  }
  WriteDepartedTargets(targets, out);
}

std::vector<TargetDeparture> ReadDepartures(rpc::Departures::Reader in) {
  const std::vector<DepartedTarget> targets = ReadDepartedTargets(in);
  const auto node = in.getNode();
  if (node.size() != targets.size())
    throw MalformedMessageError("columns of different lengths");
  std::vector<TargetDeparture> departures;
  for (unsigned i = 0; i < node.size(); ++i)
    departures.push_back({node[i], targets[i]});
  return departures;
}

DepartureReport ReadDepartureReport(rpc::MeshHeartbeat::Reader in) {
  DepartureReport report;
  report.unstored = ReadDepartedTargets(in.getDepartures());
  for (const std::uint64_t id_hash : in.getRetractedDepartures())
    report.retracted_ids.push_back(id_hash);
  report.known_version = in.getDeparturesVersion();
  return report;
}

void WriteDepartureReport(const DepartureReport& report,
                          rpc::MeshHeartbeat::Builder out) {
  WriteDepartedTargets(report.unstored, out.initDepartures());
  auto retracted = out.initRetractedDepartures(
      static_cast<unsigned>(report.retracted_ids.size()));
  for (unsigned i = 0; i < retracted.size(); ++i)
    retracted.set(i, report.retracted_ids[i]);
  out.setDeparturesVersion(report.known_version);
}

Heartbeat ReadHeartbeat(rpc::MeshHeartbeat::Reader in) {
  Heartbeat heartbeat;
  heartbeat.address = in.getAddress();
  heartbeat.data_address = in.getDataAddress();
  heartbeat.zone = in.getZone();
  heartbeat.leader_fitness_milli = in.getLeaderMeritMilli();
  heartbeat.incarnation = in.getIncarnation();
  heartbeat.sequence = in.getSequence();
  heartbeat.is_vote_promised = in.getPromises();
  heartbeat.leader_nonce = in.getLeaderNonce();
  heartbeat.leader_stamp_ns = in.getLeaderStampNs();
  heartbeat.epoch = in.getEpoch();
  heartbeat.view_version = in.getViewVersion();
  heartbeat.config_version = in.getConfigVersion();
  heartbeat.is_fetching_config = in.getIsFetchingConfig();
  heartbeat.config_fetch_failed = in.getConfigFetchFailed();
  heartbeat.config_age_ms = in.getConfigAgeMs();
  heartbeat.is_leaving = in.getIsLeaving();
  heartbeat.is_store_answering = in.getStoreAnswers();
  heartbeat.is_urgent = in.getIsUrgent();
  heartbeat.target = ReadTarget(in);
  for (const auto released : in.getReleased()) {
    heartbeat.released.push_back({released.getService(),
                                  ReadSpan(released.getRange()),
                                  released.getFence(), released.getHandover()});
  }
  const auto arrivals = in.getArrivals();
  for (unsigned i = 0; i + 1 < arrivals.size(); i += 2)
    heartbeat.slot_request_counts.push_back({arrivals[i], arrivals[i + 1]});
  heartbeat.mean_service_time_us = in.getMeanWorkUs();
  heartbeat.long_run_us = in.getLongRunUs();
  heartbeat.crash_report.suspects = ReadCrashSuspects(in.getCrashSuspects());
  heartbeat.crash_report.since = in.getCrashReportsSince();
  heartbeat.crash_report.version = in.getCrashReportVersion();
  heartbeat.crash_report.ledger_version = in.getCrashLedgerVersion();
  heartbeat.departures = ReadDepartureReport(in);
  heartbeat.evacuations = ReadEvacuations(in.getEvacuations());
  return heartbeat;
}

// Numbers what the columns of a table name, from 1 on; 0 stands for nobody.
template <typename Name>
class Places {
 public:
  std::uint16_t PlaceOf(const Name& name) {
    const auto next = static_cast<std::uint16_t>(m_places.size() + 1);
    return m_places.try_emplace(name, next).first->second;
  }

  unsigned count() const { return static_cast<unsigned>(m_places.size()); }
  const std::map<Name, std::uint16_t>& all() const { return m_places; }

 private:
  std::map<Name, std::uint16_t> m_places;
};

using ViewRuns = std::vector<ViewDelta::Assignment>;

// Runs of one service, each without what only its owner needs.
void WriteKeyOwners(const std::string& service,
                    const std::vector<const SlotAssignment*>& runs,
                    rpc::MeshKeyOwners::Builder out) {
  const auto count = static_cast<unsigned>(runs.size());
  Places<std::string_view> places;
  auto first = out.initFirst(count);
  auto last = out.initLast(count);
  auto owner = out.initOwner(count);
  auto fence = out.initFence(count);
  for (unsigned i = 0; i < count; ++i) {
    const SlotAssignment& run = *runs[i];
    first.set(i, static_cast<std::uint16_t>(run.range.first));
    last.set(i, static_cast<std::uint16_t>(run.range.last));
    fence.set(i, run.fence);
    if (run.has_owner())
      owner.set(i, places.PlaceOf(run.owner));
  }
  out.setService(service);
  auto owners = out.initOwners(places.count());
  for (const auto& [address, place] : places.all())
    owners.set(place - 1U, std::string(address));
}

void ReadKeyOwners(rpc::MeshKeyOwners::Reader in, ViewRuns& runs) {
  // Each call of a getter counts the whole list as read. With one for each run,
  // a view of 2,048 runs was over the library's limit, and no node could take
  // it.
  const auto first = in.getFirst();
  const auto last = in.getLast();
  const auto owner = in.getOwner();
  const auto fence = in.getFence();
  const auto owners = in.getOwners();
  const std::string service = in.getService();
  const unsigned count = first.size();
  if (last.size() != count || owner.size() != count || fence.size() != count)
    throw MalformedMessageError("columns of different lengths");
  for (unsigned i = 0; i < count; ++i) {
    SlotAssignment run;
    run.range = {first[i], last[i]};
    CheckRange(run.range);
    run.fence = fence[i];
    const unsigned place = owner[i];
    if (place > owners.size())
      throw MalformedMessageError("not an owner");
    if (place > 0)
      run.owner = owners[place - 1];
    runs.push_back({service, std::move(run)});
  }
}

// The receiver's own runs in full, those of others in columns.
void WriteViewRuns(const ViewRuns& runs, rpc::MeshHeartbeatReply::Builder out) {
  std::vector<const ViewDelta::Assignment*> full;
  std::map<std::string, std::vector<const SlotAssignment*>> others;
  for (const ViewDelta::Assignment& run : runs) {
    if (run.assignment.incarnation.is_known())
      full.push_back(&run);
    else
      others[run.service].push_back(&run.assignment);
  }
  auto list = out.initRuns(static_cast<unsigned>(full.size()));
  for (unsigned i = 0; i < list.size(); ++i)
    WriteRun(full[i]->service, full[i]->assignment, list[i]);
  auto owners = out.initOwners(static_cast<unsigned>(others.size()));
  unsigned next = 0;
  for (const auto& [service, owned] : others)
    WriteKeyOwners(service, owned, owners[next++]);
}

HeartbeatReply ReadReply(rpc::MeshHeartbeatReply::Reader in) {
  HeartbeatReply reply;
  reply.is_leader = in.getIsLeader();
  reply.leader_hint = in.getLeaderHint();
  reply.has_resigned = in.getHasResigned();
  reply.is_new_process = in.getIsNewProcess();
  reply.nonce = in.getNonce();
  reply.stamp_ns = in.getStampNs();
  reply.lease_ms = in.getLeaseMs();
  reply.max_lease_ms = in.getLongestLeaseMs();
  reply.reads_store = in.getFollowStore();
  reply.view.epoch = in.getViewEpoch();
  reply.view.version = in.getViewVersion();
  reply.view.is_whole = in.getViewIsWhole();
  for (const auto member : in.getMembers())
    reply.view.members.push_back(ReadMember(member));
  for (const auto run : in.getRuns())
    reply.view.assignments.push_back({run.getService(), ReadRun(run)});
  for (const auto owners : in.getOwners())
    ReadKeyOwners(owners, reply.view.assignments);
  reply.crash_report.suspects = ReadCrashSuspects(in.getCrashSuspects());
  reply.crash_report.ledger_version = in.getCrashLedgerVersion();
  reply.crash_report.received = in.getCrashReportsReceived();
  reply.crash_report.stored = in.getCrashReportsStored();
  reply.departures.stored = ReadDepartedTargets(in.getStoredDepartures());
  reply.departures.version = in.getDeparturesVersion();
  reply.config_version = in.getConfigVersion();
  reply.config_source = in.getConfigSource();
  reply.config_age_ms = in.getConfigAgeMs();
  reply.evacuations = ReadEvacuations(in.getEvacuations());
  return reply;
}

// A life of a target at its node, as the columns of the record name it.
using Holder = std::pair<std::string, TargetIncarnation>;

void WriteHolders(const Places<Holder>& places, rpc::StoredKeys::Builder out) {
  auto holders = out.initHolders(places.count());
  for (const auto& [holder, place] : places.all()) {
    auto entry = holders[place - 1U];
    entry.setAddress(holder.first);
    entry.setTargetId(holder.second.id);
    entry.setTargetStartedUnixMs(holder.second.started_unix_ms);
  }
}

void WriteStoredKeys(const std::string& service,
                     const KeyTable& table,
                     rpc::StoredKeys::Builder out) {
  const std::vector<SlotAssignment>& runs = table.assignments();
  const auto count = static_cast<unsigned>(runs.size());
  auto first = out.initFirst(count);
  auto owner = out.initOwner(count);
  auto fence = out.initFence(count);
  auto handover_length = out.initHandoverLength(count);
  auto next = out.initNext(count);
  auto next_fence = out.initNextFence(count);
  Places<Holder> places;
  std::string handovers;
  for (unsigned i = 0; i < count; ++i) {
    const SlotAssignment& run = runs[i];
    first.set(i, static_cast<std::uint16_t>(run.range.first));
    if (run.has_owner())
      owner.set(i, places.PlaceOf({run.owner, run.incarnation}));
    fence.set(i, run.fence);
    handovers += run.handover;
    handover_length.set(i, static_cast<std::uint16_t>(run.handover.size()));
    if (run.is_moving())
      next.set(i, places.PlaceOf({run.next.address, run.next.incarnation}));
    next_fence.set(i, run.next.fence);
  }
  out.setService(service);
  out.setHandovers(BytesOf(handovers));
  WriteHolders(places, out);
}

std::vector<Holder> ReadHolders(rpc::StoredKeys::Reader in) {
  std::vector<Holder> holders{{}};
  for (const auto holder : in.getHolders()) {
    holders.emplace_back(holder.getAddress(),
                         TargetIncarnation{holder.getTargetId(),
                                           holder.getTargetStartedUnixMs()});
  }
  return holders;
}

KeyTable ReadStoredKeys(rpc::StoredKeys::Reader in) {
  const std::vector<Holder> holders = ReadHolders(in);
  const auto holder_at = [&holders](std::size_t place) {
    if (place >= holders.size())
      throw MalformedMessageError("not a holder");
    return holders[place];
  };
  const auto first = in.getFirst();
  const auto owner = in.getOwner();
  const auto fence = in.getFence();
  const auto handover_length = in.getHandoverLength();
  const auto next = in.getNext();
  const auto next_fence = in.getNextFence();
  const unsigned count = first.size();
  if (owner.size() != count || fence.size() != count ||
      handover_length.size() != count || next.size() != count ||
      next_fence.size() != count)
    throw MalformedMessageError("columns of different lengths");
  const std::string handovers = ReadBytes(in.getHandovers());
  std::size_t handovers_read = 0;
  KeyTable table;
  for (unsigned i = 0; i < count; ++i) {
    SlotAssignment run;
    const std::uint32_t end = i + 1 < count ? first[i + 1] : kSlotCount;
    if (first[i] >= end)
      throw MalformedMessageError("runs that are not in order");
    run.range = {first[i], end - 1};
    CheckRange(run.range);
    std::tie(run.owner, run.incarnation) = holder_at(owner[i]);
    run.fence = fence[i];
    const std::size_t length = handover_length[i];
    if (handovers_read + length > handovers.size())
      throw MalformedMessageError("handovers that break off");
    run.handover = handovers.substr(handovers_read, length);
    handovers_read += length;
    std::tie(run.next.address, run.next.incarnation) = holder_at(next[i]);
    run.next.fence = next_fence[i];
    table.Assign(run);
  }
  return table;
}

MeshRecord ReadRecord(rpc::StoredMesh::Reader in) {
  MeshRecord record;
  record.epoch = in.getEpoch();
  record.leader = in.getLeader();
  record.max_lease = std::chrono::milliseconds(in.getLongestLeaseMs());
  record.crash_suspects = ReadCrashSuspects(in.getCrashSuspects());
  record.departures = ReadDepartures(in.getDepartures());
  for (const auto voter : in.getVoters())
    record.voters.emplace_back(voter);
  for (const auto keys : in.getKeys())
    record.tables[keys.getService()] = ReadStoredKeys(keys);
  if (in.getKeys().size() > 0)
    return record;
  for (const auto run : in.getRuns())
    record.tables[run.getService()].Assign(ReadRun(run));
  return record;
}

}  // namespace

std::string MeshMessageCodec::Encode(const Heartbeat& heartbeat) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<rpc::MeshHeartbeat>();
  out.setAddress(heartbeat.address);
  out.setDataAddress(heartbeat.data_address);
  out.setZone(heartbeat.zone);
  out.setLeaderMeritMilli(heartbeat.leader_fitness_milli);
  out.setIncarnation(heartbeat.incarnation);
  out.setSequence(heartbeat.sequence);
  out.setPromises(heartbeat.is_vote_promised);
  out.setLeaderNonce(heartbeat.leader_nonce);
  out.setLeaderStampNs(heartbeat.leader_stamp_ns);
  out.setEpoch(heartbeat.epoch);
  out.setViewVersion(heartbeat.view_version);
  out.setConfigVersion(heartbeat.config_version);
  out.setIsFetchingConfig(heartbeat.is_fetching_config);
  out.setConfigFetchFailed(heartbeat.config_fetch_failed);
  out.setConfigAgeMs(heartbeat.config_age_ms);
  out.setIsLeaving(heartbeat.is_leaving);
  out.setStoreAnswers(heartbeat.is_store_answering);
  out.setIsUrgent(heartbeat.is_urgent);
  out.setTargetState(static_cast<std::uint8_t>(heartbeat.target.state));
  out.setTargetId(heartbeat.target.incarnation.id);
  out.setTargetStartedUnixMs(heartbeat.target.incarnation.started_unix_ms);
  out.setService(heartbeat.target.service);
  out.setSlots(heartbeat.target.concurrency);
  out.setHasEarlierGrants(heartbeat.target.has_earlier_grants);
  out.setColdMs(heartbeat.target.warm_up_left_ms);
  out.setColdRequestsPerSecond(heartbeat.target.cold_requests_per_second);
  out.setNamedRequestsPerSecond(heartbeat.target.named_requests_per_second);
  WriteReleased(heartbeat.released, out);
  WriteArrivals(heartbeat.slot_request_counts, out);
  out.setMeanWorkUs(heartbeat.mean_service_time_us);
  out.setLongRunUs(heartbeat.long_run_us);
  WriteCrashSuspects(heartbeat.crash_report.suspects, out.initCrashSuspects());
  out.setCrashReportsSince(heartbeat.crash_report.since);
  out.setCrashReportVersion(heartbeat.crash_report.version);
  out.setCrashLedgerVersion(heartbeat.crash_report.ledger_version);
  WriteDepartureReport(heartbeat.departures, out);
  WriteEvacuations(heartbeat.evacuations, out.initEvacuations());
  return Pack(message);
}

std::string MeshMessageCodec::Encode(const HeartbeatReply& reply) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<rpc::MeshHeartbeatReply>();
  out.setIsLeader(reply.is_leader);
  out.setLeaderHint(reply.leader_hint);
  out.setHasResigned(reply.has_resigned);
  out.setIsNewProcess(reply.is_new_process);
  out.setNonce(reply.nonce);
  out.setStampNs(reply.stamp_ns);
  out.setLeaseMs(reply.lease_ms);
  out.setLongestLeaseMs(reply.max_lease_ms);
  out.setFollowStore(reply.reads_store);
  out.setViewEpoch(reply.view.epoch);
  out.setViewVersion(reply.view.version);
  out.setViewIsWhole(reply.view.is_whole);
  auto members =
      out.initMembers(static_cast<unsigned>(reply.view.members.size()));
  for (unsigned i = 0; i < members.size(); ++i)
    WriteMember(reply.view.members[i], members[i]);
  WriteViewRuns(reply.view.assignments, out);
  WriteCrashSuspects(reply.crash_report.suspects, out.initCrashSuspects());
  out.setCrashLedgerVersion(reply.crash_report.ledger_version);
  out.setCrashReportsReceived(reply.crash_report.received);
  out.setCrashReportsStored(reply.crash_report.stored);
  WriteDepartedTargets(reply.departures.stored, out.initStoredDepartures());
  out.setDeparturesVersion(reply.departures.version);
  out.setConfigVersion(reply.config_version);
  out.setConfigSource(reply.config_source);
  out.setConfigAgeMs(reply.config_age_ms);
  WriteEvacuations(reply.evacuations, out.initEvacuations());
  return Pack(message);
}

std::string MeshMessageCodec::Encode(const VoteRequest& request) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<rpc::MeshVoteRequest>();
  out.setCandidate(request.candidate);
  out.setGivesBack(request.returns_vote);
  out.setIsHello(request.is_leader_announcement);
  out.setReplacesGoneLeader(request.is_previous_leader_gone);
  return Pack(message);
}

std::string MeshMessageCodec::Encode(const VoteReply& reply) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<rpc::MeshVoteReply>();
  out.setIsGranted(reply.is_granted);
  out.setLeaderHint(reply.leader_hint);
  return Pack(message);
}

std::string MeshMessageCodec::Encode(const MeshRecord& record) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<rpc::StoredMesh>();
  out.setEpoch(record.epoch);
  out.setLeader(record.leader);
  out.setLongestLeaseMs(static_cast<std::uint32_t>(record.max_lease.count()));
  WriteCrashSuspects(record.crash_suspects, out.initCrashSuspects());
  WriteDepartures(record.departures, out.initDepartures());
  auto voters = out.initVoters(static_cast<unsigned>(record.voters.size()));
  for (unsigned i = 0; i < voters.size(); ++i)
    voters.set(i, record.voters[i]);
  auto keys = out.initKeys(static_cast<unsigned>(record.tables.size()));
  unsigned next = 0;
  for (const auto& [service, table] : record.tables)
    WriteStoredKeys(service, table, keys[next++]);
  if (!record.tables.empty()) {
    constexpr SlotRange kNoRange{1, 0};
    WriteSpan(kNoRange, out.initRuns(1)[0].initRange());
  }
  return Pack(message);
}

Heartbeat MeshMessageCodec::DecodeHeartbeat(std::string_view bytes) {
  return Unpack<rpc::MeshHeartbeat>(bytes, ReadHeartbeat);
}

HeartbeatReply MeshMessageCodec::DecodeHeartbeatReply(std::string_view bytes) {
  return Unpack<rpc::MeshHeartbeatReply>(bytes, ReadReply);
}

VoteRequest MeshMessageCodec::DecodeVoteRequest(std::string_view bytes) {
  return Unpack<rpc::MeshVoteRequest>(
      bytes, [](rpc::MeshVoteRequest::Reader in) {
        return VoteRequest{in.getCandidate(), in.getGivesBack(),
                           in.getIsHello(), in.getReplacesGoneLeader()};
      });
}

VoteReply MeshMessageCodec::DecodeVoteReply(std::string_view bytes) {
  return Unpack<rpc::MeshVoteReply>(bytes, [](rpc::MeshVoteReply::Reader in) {
    return VoteReply{in.getIsGranted(), in.getLeaderHint()};
  });
}

MeshRecord MeshMessageCodec::DecodeRecord(std::string_view bytes) {
  return Unpack<rpc::StoredMesh>(bytes, ReadRecord);
}

}  // namespace citrongrade
