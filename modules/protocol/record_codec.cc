#include "modules/protocol/record_codec.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "modules/protocol/json_object_reader.h"
#include "modules/protocol/malformed_json_error.h"
#include "modules/protocol/mesh_json.h"
#include "modules/protocol/record_not_encodable_error.h"
#include "modules/state/size_limits.h"

namespace citrongrade {

using nlohmann::json;

namespace {

constexpr std::size_t kName = SizeLimits::kMaxNameBytes;
// "workspace/service" or a template's name.
constexpr std::size_t kServiceName = 2 * SizeLimits::kMaxNameBytes + 1;

json ToJson(const UnreadableRecord& record) {
  return {{"type", "unreadable"}, {"reason", record.reason}};
}

json ToJson(const JoinRecord& record) {
  json object = {{"type", "join"}};
  MeshJson::WriteJoin(object, record);
  return object;
}

json ToJson(const LeaveRecord& record) {
  return {{"type", "leave"}, {"member", MeshJson::Write(record.member)}};
}

json ToJson(const WitnessSetRecord& record) {
  return {{"type", "witness-set"},
          {"member", MeshJson::Write(record.member)},
          {"based_on", record.based_on.value()},
          {"witnesses", MeshJson::Write(record.witnesses)}};
}

json ToJson(const WitnessSetConfirmedRecord& record) {
  return {{"type", "witness-set-confirmed"},
          {"member", MeshJson::Write(record.member)},
          {"confirmed", record.confirmed.value()}};
}

json ToJson(const AssignRecord& record) {
  json object = {{"type", "assign"},
                 {"service", MeshJson::Write(record.service)},
                 {"slot_count", record.slot_count},
                 {"hash_seed", record.hash_seed}};
  MeshJson::WriteRuns(object, record.runs);
  return object;
}

json ToJson(const TransferRecord& record) {
  json object = {{"type", "transfer"},
                 {"from", MeshJson::Write(record.from)},
                 {"service", MeshJson::Write(record.service)},
                 {"as_of", record.as_of.value()}};
  MeshJson::WriteRuns(object, record.runs);
  return object;
}

json ToJson(const TakeoverRecord& record) {
  json testimonies = json::array();
  for (const Testimony& testimony : record.testimonies) {
    testimonies.push_back({{"witness", MeshJson::Write(testimony.witness)},
                           {"version", testimony.version.value()},
                           {"without_memory", testimony.without_memory}});
  }
  json object = {{"type", "takeover"},
                 {"lost", MeshJson::Write(record.lost)},
                 {"service", MeshJson::Write(record.service)},
                 {"testimonies", std::move(testimonies)}};
  MeshJson::WriteRuns(object, record.runs);
  return object;
}

json ToJson(const ForgetRecord& record) {
  return {{"type", "forget"},
          {"member", MeshJson::Write(record.member)},
          {"operator", record.operator_name}};
}

json ToJson(const ConfigRecord& record) {
  return {{"type", "config"},    {"kind", MeshJson::Write(record.kind)},
          {"name", record.name}, {"based_on", record.based_on.value()},
          {"body", record.body}, {"operator", record.operator_name}};
}

json ToJson(const SnapshotRecord& record) {
  return {{"type", "snapshot"},
          {"snapshot", record.snapshot.value()},
          {"taken_at", record.taken_at.value()},
          {"chunk_index", record.chunk_index},
          {"chunk_count", record.chunk_count},
          {"payload_hash", record.payload_hash},
          {"payload", record.payload}};
}

MemberId ReadMember(JsonObjectReader& object, std::string_view name) {
  return MeshJson::ReadMember(object.Array(name, 2));
}

ServiceId ReadService(JsonObjectReader& object) {
  return MeshJson::ReadService(object.Text("service", kServiceName));
}

Record ReadUnreadable(JsonObjectReader& object) {
  return UnreadableRecord{object.Text("reason", SizeLimits::kMaxReasonBytes)};
}

Record ReadJoin(JsonObjectReader& object) {
  return MeshJson::ReadJoin(object);
}

Record ReadLeave(JsonObjectReader& object) {
  return LeaveRecord{ReadMember(object, "member")};
}

Record ReadWitnessSet(JsonObjectReader& object) {
  WitnessSetRecord record;
  record.member = ReadMember(object, "member");
  record.based_on = WitnessSetVersion(object.Number("based_on"));
  record.witnesses = MeshJson::ReadMembers(
      object.Array("witnesses", SizeLimits::kMaxWitnesses));
  return record;
}

Record ReadWitnessSetConfirmed(JsonObjectReader& object) {
  WitnessSetConfirmedRecord record;
  record.member = ReadMember(object, "member");
  record.confirmed = WitnessSetVersion(object.Number("confirmed"));
  return record;
}

Record ReadAssign(JsonObjectReader& object) {
  AssignRecord record;
  record.service = ReadService(object);
  record.slot_count = object.Number32("slot_count", SizeLimits::kMaxSlots);
  record.hash_seed = object.Number("hash_seed");
  record.runs = MeshJson::ReadRuns(object);
  return record;
}

Record ReadTransfer(JsonObjectReader& object) {
  TransferRecord record;
  record.from = ReadMember(object, "from");
  record.service = ReadService(object);
  record.as_of = LogOffset(object.Number("as_of"));
  record.runs = MeshJson::ReadRuns(object);
  return record;
}

Testimony ReadTestimony(const json& value) {
  JsonObjectReader object(value, "testimony");
  Testimony testimony;
  testimony.witness = ReadMember(object, "witness");
  testimony.version = WitnessSetVersion(object.Number("version"));
  testimony.without_memory = object.Flag("without_memory");
  object.Finish();
  return testimony;
}

Record ReadTakeover(JsonObjectReader& object) {
  // The confirmed and the pending set.
  constexpr std::size_t kMaxTestimonies = 2 * SizeLimits::kMaxWitnesses;
  TakeoverRecord record;
  record.lost = ReadMember(object, "lost");
  record.service = ReadService(object);
  for (const json& value : object.Array("testimonies", kMaxTestimonies)) {
    record.testimonies.push_back(ReadTestimony(value));
  }
  record.runs = MeshJson::ReadRuns(object);
  return record;
}

Record ReadForget(JsonObjectReader& object) {
  ForgetRecord record;
  record.member = ReadMember(object, "member");
  record.operator_name = object.Text("operator", kName);
  return record;
}

Record ReadConfig(JsonObjectReader& object) {
  ConfigRecord record;
  record.kind = MeshJson::ReadConfigKind(object.Text("kind", kName));
  record.name = object.Text("name", kServiceName);
  record.based_on = ConfigVersion(object.Number("based_on"));
  record.body = object.Text("body", SizeLimits::kMaxConfigBodyBytes);
  record.operator_name = object.Text("operator", kName);
  return record;
}

Record ReadSnapshot(JsonObjectReader& object) {
  SnapshotRecord record;
  record.snapshot =
      RecordId(object.Text("snapshot", SizeLimits::kMaxRecordIdBytes));
  record.taken_at = LogOffset(object.Number("taken_at"));
  record.chunk_count =
      object.Number32("chunk_count", SizeLimits::kMaxSnapshotChunks);
  record.chunk_index =
      object.Number32("chunk_index", SizeLimits::kMaxSnapshotChunks);
  record.payload_hash = object.Number("payload_hash");
  record.payload = object.Text("payload", SizeLimits::kMaxSnapshotChunkBytes);
  return record;
}

using ReadFunction = Record (*)(JsonObjectReader&);

constexpr std::array<std::pair<std::string_view, ReadFunction>, 11> kReaders = {
    {{"unreadable", ReadUnreadable},
     {"join", ReadJoin},
     {"leave", ReadLeave},
     {"witness-set", ReadWitnessSet},
     {"witness-set-confirmed", ReadWitnessSetConfirmed},
     {"assign", ReadAssign},
     {"transfer", ReadTransfer},
     {"takeover", ReadTakeover},
     {"forget", ReadForget},
     {"config", ReadConfig},
     {"snapshot", ReadSnapshot}}};

Record ReadTyped(JsonObjectReader& object) {
  const std::string type = object.Text("type", kName);
  for (const auto& [name, read] : kReaders) {
    if (name == type) {
      Record record = read(object);
      object.Finish();
      return record;
    }
  }
  throw MalformedJsonError("type: unknown");
}

// The parser's messages quote the bytes that it stumbled over. They go to logs
// and dumps, which hold text, so what isn't printable ASCII is blotted out.
UnreadableRecord MakeUnreadable(std::string reason) {
  if (reason.size() > SizeLimits::kMaxReasonBytes) {
    reason.resize(SizeLimits::kMaxReasonBytes);
  }
  std::replace_if(
      reason.begin(), reason.end(),
      [](char byte) { return byte < ' ' || byte > '~'; }, '?');
  return {std::move(reason)};
}

}  // namespace

std::string RecordCodec::Encode(const RecordId& id, const Record& record) {
  json object =
      std::visit([](const auto& typed) { return ToJson(typed); }, record);
  object["id"] = id.value();
  std::string text;
  try {
    text = object.dump();
  } catch (const json::exception& error) {
    throw RecordNotEncodableError(error.what());
  }
  if (text.size() > SizeLimits::kMaxRecordBytes) {
    throw RecordNotEncodableError("record has " + std::to_string(text.size()) +
                                  " bytes, more than the log takes");
  }
  return text;
}

LogEntry RecordCodec::Decode(LogOffset offset, std::string_view text) {
  LogEntry entry;
  entry.offset = offset;
  if (text.size() > SizeLimits::kMaxRecordBytes) {
    entry.record = MakeUnreadable("record is too large");
    return entry;
  }
  try {
    const json value = json::parse(text);
    JsonObjectReader object(value, "record");
    entry.id = RecordId(object.Text("id", SizeLimits::kMaxRecordIdBytes));
    entry.record = ReadTyped(object);
  } catch (const json::exception& error) {
    entry.record = MakeUnreadable(error.what());
  } catch (const MalformedJsonError& error) {
    entry.record = MakeUnreadable(error.what());
  }
  return entry;
}

}  // namespace citrongrade
