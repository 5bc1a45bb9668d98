#include "programs/citrongradectl/config_diff.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "modules/state/mesh_state.h"

namespace citrongrade {

using nlohmann::json;

namespace {

using FieldMap = std::map<std::string, std::string>;

void Flatten(const json& value, const std::string& path, FieldMap& fields) {
  if (!value.is_object()) {
    fields[path] = value.dump();
    return;
  }
  for (const auto& [name, item] : value.items()) {
    std::string item_path = path;
    if (!item_path.empty()) {
      item_path += ".";
    }
    item_path += name;
    Flatten(item, item_path, fields);
  }
}

FieldMap FieldsOf(const std::string& body) {
  FieldMap fields;
  Flatten(json::parse(body, nullptr, false), "", fields);
  return fields;
}

std::vector<ConfigDiff::FieldChange> CompareBodies(
    const std::string& in_force,
    const std::string& declared) {
  const FieldMap before = FieldsOf(in_force);
  const FieldMap after = FieldsOf(declared);
  std::vector<ConfigDiff::FieldChange> changes;
  for (const auto& [field, value] : before) {
    const auto found = after.find(field);
    const std::string now = found == after.end() ? "" : found->second;
    if (now != value) {
      changes.push_back({field, value, now});
    }
  }
  for (const auto& [field, value] : after) {
    if (!before.contains(field)) {
      changes.push_back({field, "", value});
    }
  }
  return changes;
}

ConfigDiff CompareOne(const Declaration& declaration, const MeshState& state) {
  ConfigDiff diff;
  diff.kind = declaration.kind;
  diff.name = declaration.name;
  const ConfigEntry* entry =
      state.FindConfig(declaration.kind, declaration.name);
  if (entry == nullptr) {
    return diff;
  }
  diff.version = entry->version;
  diff.changes = CompareBodies(entry->body, declaration.body);
  diff.status = diff.changes.empty() ? ConfigDiff::Status::kUnchanged
                                     : ConfigDiff::Status::kChanged;
  return diff;
}

}  // namespace

std::vector<ConfigDiff> ConfigDiff::Compare(
    const std::vector<Declaration>& declarations,
    const MeshState& state) {
  std::vector<ConfigDiff> diffs;
  std::set<std::pair<ConfigKind, std::string>> declared;
  for (const Declaration& declaration : declarations) {
    declared.emplace(declaration.kind, declaration.name);
    diffs.push_back(CompareOne(declaration, state));
  }
  for (const auto& [key, entry] : state.config()) {
    if (!declared.contains(key)) {
      diffs.push_back(
          {entry.kind, entry.name, Status::kOnlyInForce, entry.version, {}});
    }
  }
  return diffs;
}

std::string ConfigDiff::ToText(Status status) {
  switch (status) {
    case Status::kNew:
      return "new";
    case Status::kChanged:
      return "changed";
    case Status::kUnchanged:
      return "unchanged";
    case Status::kOnlyInForce:
      return "only-in-force";
  }
  return {};
}

}  // namespace citrongrade
