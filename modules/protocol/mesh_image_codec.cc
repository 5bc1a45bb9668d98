#include "modules/protocol/mesh_image_codec.h"

#include <algorithm>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "modules/protocol/json_object_reader.h"
#include "modules/protocol/malformed_json_error.h"
#include "modules/protocol/mesh_json.h"
#include "modules/protocol/record_not_encodable_error.h"
#include "modules/state/mesh_state.h"
#include "modules/state/size_limits.h"

namespace citrongrade {

using nlohmann::json;

namespace {

constexpr std::uint64_t kFormat = 1;
constexpr std::uint64_t kAnyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t kName = SizeLimits::kMaxNameBytes;
constexpr std::size_t kServiceName = 2 * SizeLimits::kMaxNameBytes + 1;
// A confirmed and a pending set for each member, with witnesses that changed.
constexpr std::size_t kMaxDistinctWitnesses =
    2 * SizeLimits::kMaxMembers * SizeLimits::kMaxWitnesses;

// Each witness stands once in the text; sets name it by index.
class WitnessWriter {
 public:
  json WriteSet(const WitnessSet& set) {
    json numbers = json::array({set.version.value()});
    for (const Witness& witness : set.witnesses) {
      numbers.push_back(IndexOf(witness));
    }
    return numbers;
  }

  json TakeList() { return std::move(m_list); }

 private:
  std::size_t IndexOf(const Witness& witness) {
    const auto [found, is_new] = m_index.try_emplace(witness, m_list.size());
    if (is_new) {
      m_list.push_back({witness.member.node.value(),
                        witness.member.incarnation.value(), witness.boot_id,
                        witness.peer_address});
    }
    return found->second;
  }

  std::map<Witness, std::size_t> m_index;
  json m_list = json::array();
};

class WitnessReader {
 public:
  explicit WitnessReader(const json& list) {
    for (const json& item : list) {
      m_witnesses.push_back(ReadWitness(item));
    }
  }

  WitnessSet ReadSet(const json& value) const {
    const json& numbers = JsonObjectReader::AsArray(
        value, "witness set", SizeLimits::kMaxWitnesses + 1);
    if (numbers.empty()) {
      throw MalformedJsonError("witness set: lacks its version");
    }
    WitnessSet set;
    set.version = WitnessSetVersion(JsonObjectReader::AsNumber(
        numbers[0], "version of witness set", kAnyNumber));
    for (std::size_t i = 1; i < numbers.size(); ++i) {
      const std::uint64_t index =
          JsonObjectReader::AsNumber(numbers[i], "witness", kAnyNumber);
      if (index >= m_witnesses.size()) {
        throw MalformedJsonError("witness set: names one that is not listed");
      }
      set.witnesses.push_back(m_witnesses[index]);
    }
    return set;
  }

 private:
  static Witness ReadWitness(const json& value) {
    constexpr std::size_t kFields = 4;
    const json& item = JsonObjectReader::AsArray(value, "witness", kFields);
    if (item.size() != kFields) {
      throw MalformedJsonError("witness: has not four fields");
    }
    Witness witness;
    witness.member.node =
        NodeId(JsonObjectReader::AsText(item[0], "witness's node", kName));
    witness.member.incarnation = Incarnation(JsonObjectReader::AsNumber(
        item[1], "witness's incarnation", kAnyNumber));
    witness.boot_id =
        JsonObjectReader::AsText(item[2], "witness's boot id", kName);
    witness.peer_address = JsonObjectReader::AsText(
        item[3], "witness's address", SizeLimits::kMaxAddressBytes);
    return witness;
  }

  std::vector<Witness> m_witnesses;
};

json WriteMember(const Member& member, WitnessWriter& witnesses) {
  json object;
  MeshJson::WriteJoin(object, member.announcement);
  object["incarnation"] = member.id.incarnation.value();
  object["witnesses"] = witnesses.WriteSet(member.witnesses);
  if (member.pending_witnesses.has_value()) {
    object["pending_witnesses"] = witnesses.WriteSet(*member.pending_witnesses);
  }
  return object;
}

Member ReadMember(const json& value, const WitnessReader& witnesses) {
  constexpr std::size_t kMaxNumbers = SizeLimits::kMaxWitnesses + 1;
  JsonObjectReader object(value, "member");
  Member member;
  member.announcement = MeshJson::ReadJoin(object);
  member.id = {member.announcement.node,
               Incarnation(object.Number("incarnation"))};
  member.witnesses = witnesses.ReadSet(object.Array("witnesses", kMaxNumbers));
  if (object.Has("pending_witnesses")) {
    member.pending_witnesses =
        witnesses.ReadSet(object.Array("pending_witnesses", kMaxNumbers));
  }
  object.Finish();
  return member;
}

// [owner, epoch, [gap, count, gap, count, ...]] for each owner and epoch; a gap
// is counted from the end of the run before it.
json WriteGrants(const MeshImage::Service& service, json& owners) {
  std::map<MemberId, std::size_t> index_of_owner;
  std::map<std::pair<std::size_t, Epoch>, std::pair<std::uint32_t, json>> lists;
  for (const auto& [run, epoch] : service.runs) {
    const auto [owner, is_new] =
        index_of_owner.try_emplace(run.owner, owners.size());
    if (is_new) {
      owners.push_back(MeshJson::Write(run.owner));
    }
    auto& [end, numbers] =
        lists.try_emplace({owner->second, epoch}, 0, json::array())
            .first->second;
    numbers.push_back(run.first.value() - end);
    numbers.push_back(run.count);
    end = run.first.value() + run.count;
  }
  json grants = json::array();
  for (auto& [key, list] : lists) {
    grants.push_back({key.first, key.second.value(), std::move(list.second)});
  }
  return grants;
}

json WriteService(const MeshImage::Service& service) {
  json owners = json::array();
  json grants = WriteGrants(service, owners);
  return {{"service", MeshJson::Write(service.id)},
          {"slot_count", service.slot_count},
          {"hash_seed", service.hash_seed},
          {"owners", std::move(owners)},
          {"grants", std::move(grants)}};
}

void ReadGrant(const json& value,
               const std::vector<MemberId>& owners,
               MeshImage::Service& service) {
  const json& grant = JsonObjectReader::AsArray(value, "grant", 3);
  if (grant.size() != 3) {
    throw MalformedJsonError("grant: is not [owner, epoch, slots]");
  }
  const std::uint64_t owner =
      JsonObjectReader::AsNumber(grant[0], "owner", kAnyNumber);
  if (owner >= owners.size()) {
    throw MalformedJsonError("grant: names an owner that is not listed");
  }
  const Epoch epoch(JsonObjectReader::AsNumber(grant[1], "epoch", kAnyNumber));
  const json& numbers = JsonObjectReader::AsArray(
      grant[2], "slots of a grant", std::size_t{2} * service.slot_count);
  if (numbers.size() % 2 != 0) {
    throw MalformedJsonError("grant: a gap without its count");
  }
  std::uint64_t position = 0;
  for (std::size_t i = 0; i < numbers.size(); i += 2) {
    position +=
        JsonObjectReader::AsNumber(numbers[i], "gap", service.slot_count);
    const std::uint64_t count = JsonObjectReader::AsNumber(
        numbers[i + 1], "count of slots", service.slot_count);
    if (count == 0 || position + count > service.slot_count) {
      throw MalformedJsonError("grant: slots that do not exist");
    }
    const OwnedSlotRange run{SlotIndex(static_cast<std::uint32_t>(position)),
                             static_cast<std::uint32_t>(count), owners[owner]};
    service.runs.emplace_back(run, epoch);
    position += count;
  }
}

void CheckNoSlotTwice(const MeshImage::Service& service) {
  std::uint64_t end = 0;
  for (const auto& [run, epoch] : service.runs) {
    if (run.first.value() < end) {
      throw MalformedJsonError("service: a slot has two owners");
    }
    end = std::uint64_t{run.first.value()} + run.count;
  }
}

MeshImage::Service ReadService(const json& value) {
  JsonObjectReader object(value, "service");
  MeshImage::Service service;
  service.id = MeshJson::ReadService(object.Text("service", kServiceName));
  service.slot_count = object.Number32("slot_count", SizeLimits::kMaxSlots);
  service.hash_seed = object.Number("hash_seed");
  const std::vector<MemberId> owners =
      MeshJson::ReadMembers(object.Array("owners", SizeLimits::kMaxMembers));
  for (const json& grant : object.Array("grants", SizeLimits::kMaxSlots)) {
    ReadGrant(grant, owners, service);
  }
  object.Finish();
  std::sort(service.runs.begin(), service.runs.end(),
            [](const auto& left, const auto& right) {
              return left.first.first < right.first.first;
            });
  CheckNoSlotTwice(service);
  return service;
}

json WriteConfig(const ConfigEntry& entry) {
  return {{"kind", MeshJson::Write(entry.kind)},
          {"name", entry.name},
          {"version", entry.version.value()},
          {"body", entry.body},
          {"operator", entry.operator_name}};
}

ConfigEntry ReadConfig(const json& value) {
  JsonObjectReader object(value, "configuration entry");
  ConfigEntry entry;
  entry.kind = MeshJson::ReadConfigKind(object.Text("kind", kName));
  entry.name = object.Text("name", kServiceName);
  entry.version = ConfigVersion(object.Number("version"));
  entry.body = object.Text("body", SizeLimits::kMaxConfigBodyBytes);
  entry.operator_name = object.Text("operator", kName);
  object.Finish();
  return entry;
}

json WriteTakeover(const TakeoverHistory& history, WitnessWriter& witnesses) {
  json sets = json::array();
  for (const WitnessSet& set : history.witness_sets) {
    sets.push_back(witnesses.WriteSet(set));
  }
  return {{"epoch", history.epoch.value()},
          {"lost", MeshJson::Write(history.lost)},
          {"service", MeshJson::Write(history.service)},
          {"witness_sets", std::move(sets)}};
}

TakeoverHistory ReadTakeover(const json& value,
                             const WitnessReader& witnesses) {
  JsonObjectReader object(value, "takeover");
  TakeoverHistory history;
  history.epoch = Epoch(object.Number("epoch"));
  history.lost = MeshJson::ReadMember(object.Array("lost", 2));
  history.service = MeshJson::ReadService(object.Text("service", kServiceName));
  for (const json& set : object.Array("witness_sets", 2)) {
    history.witness_sets.push_back(witnesses.ReadSet(set));
  }
  object.Finish();
  return history;
}

MeshImage ReadImage(const json& value) {
  JsonObjectReader object(value, "snapshot");
  if (object.Number("format") != kFormat) {
    throw MalformedJsonError("snapshot: unknown format");
  }
  MeshImage image;
  image.next_offset = LogOffset(object.Number("next_offset"));
  const WitnessReader witnesses(
      object.Array("witnesses", kMaxDistinctWitnesses));
  for (const json& item : object.Array("members", SizeLimits::kMaxMembers)) {
    image.members.push_back(ReadMember(item, witnesses));
  }
  image.departed =
      MeshJson::ReadMembers(object.Array("departed", SizeLimits::kMaxMembers));
  for (const json& item : object.Array("services", SizeLimits::kMaxServices)) {
    image.services.push_back(ReadService(item));
  }
  for (const json& item :
       object.Array("config", SizeLimits::kMaxConfigEntries)) {
    image.config.push_back(ReadConfig(item));
  }
  for (const json& item :
       object.Array("takeovers", MeshState::kMaxTakeoverHistories)) {
    image.takeovers.push_back(ReadTakeover(item, witnesses));
  }
  object.Finish();
  return image;
}

}  // namespace

std::string MeshImageCodec::Encode(const MeshImage& image) {
  WitnessWriter witnesses;
  json members = json::array();
  for (const Member& member : image.members) {
    members.push_back(WriteMember(member, witnesses));
  }
  json services = json::array();
  for (const MeshImage::Service& service : image.services) {
    services.push_back(WriteService(service));
  }
  json config = json::array();
  for (const ConfigEntry& entry : image.config) {
    config.push_back(WriteConfig(entry));
  }
  json takeovers = json::array();
  for (const TakeoverHistory& history : image.takeovers) {
    takeovers.push_back(WriteTakeover(history, witnesses));
  }
  const json object = {{"format", kFormat},
                       {"next_offset", image.next_offset.value()},
                       {"members", std::move(members)},
                       {"departed", MeshJson::Write(image.departed)},
                       {"services", std::move(services)},
                       {"config", std::move(config)},
                       {"takeovers", std::move(takeovers)},
                       {"witnesses", witnesses.TakeList()}};
  constexpr int kOneLine = -1;
  constexpr bool kAsciiOnly = true;
  try {
    return object.dump(kOneLine, ' ', kAsciiOnly);
  } catch (const json::exception& error) {
    throw RecordNotEncodableError(error.what());
  }
}

MeshImage MeshImageCodec::Decode(std::string_view text) {
  try {
    return ReadImage(json::parse(text));
  } catch (const json::exception& error) {
    throw MalformedJsonError(error.what());
  }
}

}  // namespace citrongrade
