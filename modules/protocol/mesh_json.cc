#include "modules/protocol/mesh_json.h"

#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "modules/protocol/json_object_reader.h"
#include "modules/protocol/malformed_json_error.h"
#include "modules/state/size_limits.h"

namespace citrongrade {

using nlohmann::json;

namespace {

constexpr std::uint64_t kAnyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t kNumbersPerRun = 3;

std::vector<MemberId> ReadMemberList(const json& list, std::size_t max_items) {
  std::vector<MemberId> members;
  for (const json& item :
       JsonObjectReader::AsArray(list, "members", max_items)) {
    members.push_back(MeshJson::ReadMember(item));
  }
  return members;
}

}  // namespace

json MeshJson::Write(const MemberId& member) {
  return json::array({member.node.value(), member.incarnation.value()});
}

MemberId MeshJson::ReadMember(const json& value) {
  const json& pair = JsonObjectReader::AsArray(value, "member", 2);
  if (pair.size() != 2) {
    throw MalformedJsonError("member: is not [node, incarnation]");
  }
  std::string node = JsonObjectReader::AsText(pair[0], "member's node",
                                              SizeLimits::kMaxNameBytes);
  const std::uint64_t incarnation =
      JsonObjectReader::AsNumber(pair[1], "member's incarnation", kAnyNumber);
  return {NodeId(std::move(node)), Incarnation(incarnation)};
}

std::vector<MemberId> MeshJson::ReadMembers(const json& list) {
  return ReadMemberList(list, SizeLimits::kMaxMembers);
}

json MeshJson::Write(const std::vector<MemberId>& members) {
  json list = json::array();
  for (const MemberId& member : members) {
    list.push_back(Write(member));
  }
  return list;
}

json MeshJson::Write(const ServiceId& service) {
  return service.ToString();
}

ServiceId MeshJson::ReadService(std::string_view text) {
  const std::size_t slash = text.find('/');
  const bool two_parts = slash != std::string_view::npos && slash > 0 &&
                         slash + 1 < text.size() &&
                         text.find('/', slash + 1) == std::string_view::npos;
  if (!two_parts) {
    throw MalformedJsonError("service: is not workspace/service");
  }
  return {WorkspaceName(std::string(text.substr(0, slash))),
          ServiceName(std::string(text.substr(slash + 1)))};
}

std::string MeshJson::Write(ConfigKind kind) {
  return kind == ConfigKind::kTemplate ? "template" : "service";
}

ConfigKind MeshJson::ReadConfigKind(std::string_view text) {
  if (text == "template") {
    return ConfigKind::kTemplate;
  }
  if (text == "service") {
    return ConfigKind::kService;
  }
  throw MalformedJsonError("kind: is neither template nor service");
}

void MeshJson::WriteRuns(json& object,
                         const std::vector<OwnedSlotRange>& runs) {
  std::map<MemberId, std::size_t> index_of_owner;
  json owners = json::array();
  json numbers = json::array();
  for (const OwnedSlotRange& run : runs) {
    const auto [owner, is_new] =
        index_of_owner.try_emplace(run.owner, owners.size());
    if (is_new) {
      owners.push_back(Write(run.owner));
    }
    numbers.push_back(run.first.value());
    numbers.push_back(run.count);
    numbers.push_back(owner->second);
  }
  object["owners"] = std::move(owners);
  object["runs"] = std::move(numbers);
}

std::vector<OwnedSlotRange> MeshJson::ReadRuns(JsonObjectReader& object) {
  const std::vector<MemberId> owners =
      ReadMembers(object.Array("owners", SizeLimits::kMaxMembers));
  const json& numbers =
      object.Array("runs", SizeLimits::kMaxSlots * kNumbersPerRun);
  if (numbers.size() % kNumbersPerRun != 0) {
    throw MalformedJsonError("runs: not three numbers for each run");
  }
  std::vector<OwnedSlotRange> runs;
  runs.reserve(numbers.size() / kNumbersPerRun);
  for (std::size_t i = 0; i < numbers.size(); i += kNumbersPerRun) {
    const std::uint64_t first = JsonObjectReader::AsNumber(
        numbers[i], "first slot", SizeLimits::kMaxSlots);
    const std::uint64_t count = JsonObjectReader::AsNumber(
        numbers[i + 1], "count of slots", SizeLimits::kMaxSlots);
    const std::uint64_t owner =
        JsonObjectReader::AsNumber(numbers[i + 2], "owner", kAnyNumber);
    if (owner >= owners.size()) {
      throw MalformedJsonError("runs: names an owner that is not listed");
    }
    runs.push_back({SlotIndex(static_cast<std::uint32_t>(first)),
                    static_cast<std::uint32_t>(count), owners[owner]});
  }
  return runs;
}

void MeshJson::WriteJoin(json& object, const JoinRecord& record) {
  object["node"] = record.node.value();
  object["availability_zone"] = record.availability_zone.value();
  object["caller_address"] = record.caller_address;
  object["control_address"] = record.control_address;
  object["data_address"] = record.data_address;
  object["peer_address"] = record.peer_address;
  object["boot_id"] = record.boot_id;
  object["service"] = Write(record.service);
  object["target_slots"] = record.target_slots;
  object["target_connections"] = record.target_connections;
  object["target_checks_grants"] = record.target_checks_grants;
}

JoinRecord MeshJson::ReadJoin(JsonObjectReader& object) {
  constexpr std::size_t kName = SizeLimits::kMaxNameBytes;
  constexpr std::size_t kAddress = SizeLimits::kMaxAddressBytes;
  JoinRecord record;
  record.node = NodeId(object.Text("node", kName));
  record.availability_zone =
      AvailabilityZone(object.Text("availability_zone", kName));
  record.caller_address = object.Text("caller_address", kAddress);
  record.control_address = object.Text("control_address", kAddress);
  record.data_address = object.Text("data_address", kAddress);
  record.peer_address = object.Text("peer_address", kAddress);
  record.boot_id = object.Text("boot_id", kName);
  record.service = ReadService(object.Text("service", 2 * kName));
  record.target_slots = object.Number32("target_slots");
  record.target_connections = object.Number32("target_connections");
  record.target_checks_grants = object.Flag("target_checks_grants");
  return record;
}

}  // namespace citrongrade
