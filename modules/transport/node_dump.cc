#include "modules/transport/node_dump.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "modules/transport/target_announcement_codec.h"

namespace citrongrade {

namespace {

using nlohmann::json;

json ToJson(const MemberId& id) {
  return {{"node", id.node.value()}, {"incarnation", id.incarnation.value()}};
}

json ToJson(const std::vector<MemberId>& ids) {
  json list = json::array();
  for (const MemberId& id : ids)
    list.push_back(ToJson(id));
  return list;
}

json ToJson(const std::optional<std::chrono::milliseconds>& duration) {
  return duration ? json(duration->count()) : json();
}

json ToJson(const CoordinatorDump::ServiceView& service) {
  json runs = json::array();
  for (const auto& [run, epoch] : service.runs) {
    runs.push_back({{"first", run.first.value()},
                    {"count", run.count},
                    {"owner", run.owner.node.value()},
                    {"incarnation", run.owner.incarnation.value()},
                    {"epoch", epoch.value()}});
  }
  return {{"service", service.service.ToString()},
          {"slot_count", service.slot_count},
          {"unowned_slots", service.unowned_slots},
          {"runs", runs}};
}

json WitnessesToJson(const CoordinatorDump& dump) {
  json list = json::array();
  for (const auto& witness : dump.witnesses) {
    list.push_back({{"member", ToJson(witness.member)},
                    {"in_confirmed_set", witness.in_confirmed_set},
                    {"in_pending_set", witness.in_pending_set},
                    {"since_last_grant_ms", ToJson(witness.since_last_grant)}});
  }
  return list;
}

json WorkToJson(const CoordinatorDump& dump) {
  json moves = json::array();
  for (const auto& move : dump.moves) {
    moves.push_back({{"receiver", ToJson(move.receiver)},
                     {"slots", move.slots},
                     {"stage", move.stage}});
  }
  json recoveries = json::array();
  for (const auto& recovery : dump.recoveries) {
    recoveries.push_back({{"lost", ToJson(recovery.lost)},
                          {"slots", recovery.slots},
                          {"waits_for", ToJson(recovery.waits_for)},
                          {"history_lost", recovery.history_lost}});
  }
  json takeovers = json::array();
  for (const auto& takeover : dump.takeovers) {
    takeovers.push_back({{"lost", ToJson(takeover.lost)},
                         {"testimonies", takeover.testimonies},
                         {"waits_for", ToJson(takeover.waits_for)}});
  }
  return {
      {"moves", moves}, {"recoveries", recoveries}, {"takeovers", takeovers}};
}

json CountersToJson(const CoordinatorDump& dump) {
  return {{"request_ids", dump.request_ids},
          {"request_id_answer_bytes", dump.request_id_answer_bytes},
          {"witnessed_ids", dump.witnessed_ids},
          {"holders_witnessed", dump.holders_witnessed},
          {"messages_sent", dump.messages_sent},
          {"records_appended", dump.records_appended},
          {"records_rejected", dump.records_rejected},
          {"snapshots_written", dump.snapshots_written},
          {"clock_jumps", dump.clock_jumps}};
}

json ToJson(const CoordinatorDump& dump) {
  json services = json::array();
  for (const auto& service : dump.services)
    services.push_back(ToJson(service));
  return {{"identity", dump.identity ? ToJson(*dump.identity) : json()},
          {"ready", dump.ready},
          {"draining", dump.draining},
          {"stopped", dump.stopped},
          {"next_offset", dump.next_offset.value()},
          {"awaited_log_end", dump.awaited_log_end.value()},
          {"log_available", dump.log_available},
          {"in_log_gap", dump.in_log_gap},
          {"lease_remaining_ms", ToJson(dump.lease_remaining)},
          {"counted_witness_set", dump.counted_witness_set.value()},
          {"witnesses", WitnessesToJson(dump)},
          {"current_members", ToJson(dump.current_members)},
          {"services", services},
          {"work", WorkToJson(dump)},
          {"counters", CountersToJson(dump)},
          {"last_errors", dump.last_errors}};
}

json ToJson(const TargetAnnouncement& target) {
  return {{"service", target.service.ToString()},
          {"address", target.address},
          {"slots", target.concurrency},
          {"connections", target.connections},
          {"checks_grants", target.checks_grants},
          {"state", ToString(target.state)}};
}

json ToJson(const AdmissionStatus& admission) {
  return {{"limit", admission.limit},
          {"running", admission.running},
          {"running_long", admission.running_long},
          {"waiting", admission.waiting},
          {"waiting_bytes", admission.waiting_bytes},
          {"burst_credit", admission.burst_credit},
          {"admitted_total", admission.admitted_total},
          {"refused_total", admission.refused_total},
          {"mean_wait_us", admission.mean_wait.count()}};
}

json ToJson(const TargetDispatcher::Status& status) {
  return {{"target", status.target ? ToJson(*status.target) : json()},
          {"since_announced_ms", status.since_announced.count()},
          {"admission", ToJson(status.admission)},
          {"threads", status.threads},
          {"idle_connections", status.idle_connections},
          {"under_way", status.under_way},
          {"done", status.done},
          {"not_run", status.not_run},
          {"unknown", status.unknown},
          {"late_answers", status.late_answers},
          {"cancelled_at_target", status.cancelled_at_target},
          {"quarantined", status.quarantined}};
}

}  // namespace

std::string NodeDump::ToJson() const {
  const json dump = {
      {"node", node},
      {"availability_zone", availability_zone},
      {"ready", ready},
      {"requests_in_flight", requests_in_flight},
      {"coordinator", coordinator ? citrongrade::ToJson(*coordinator) : json()},
      {"dispatcher", citrongrade::ToJson(dispatcher)},
      {"data_rpc",
       {{"connections", data_rpc.connections},
        {"connections_lost", data_rpc.connections_lost},
        {"running", data_rpc.running},
        {"late_answers", data_rpc.late_answers}}}};
  constexpr auto kReplaceBadText = json::error_handler_t::replace;
  return dump.dump(2, ' ', false, kReplaceBadText);
}

}  // namespace citrongrade
