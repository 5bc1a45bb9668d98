#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "modules/protocol/setting_type.h"
#include "modules/protocol/setting_value.h"

namespace citrongrade {

class ProblemList;

// Reads one object of a declaration and goes on after a mistake, so that all
// of them are found. What it returns as missing has been put on the list if it
// is wrong. Holds references to the object and the list. Kin:
// JsonObjectReader, which stops at the first mistake.
class DeclarationFields {
 public:
  // `path` is the dotted path of the object; empty for the whole.
  DeclarationFields(const nlohmann::json& object,
                    std::string path,
                    ProblemList& problems);

  bool Has(std::string_view name) const;
  // Null when missing.
  const nlohmann::json* Find(std::string_view name);
  // A name in lower-case letters, digits and hyphens.
  std::string RequiredName(std::string_view name);
  // A text that has to be exactly `expected`.
  void RequireText(std::string_view name, std::string_view expected);
  std::optional<SettingValue> Value(std::string_view name, SettingType type);
  std::string OptionalText(std::string_view name);
  // Null when missing or not an object.
  const nlohmann::json* Object(std::string_view name);

  // Puts fields that nobody asked for on the list.
  void Finish();

  std::string PathOf(std::string_view name) const;
  void Add(std::string_view name, std::string reason, std::string nearest = {});

 private:
  const nlohmann::json& m_object;
  std::string m_path;
  ProblemList& m_problems;
  std::vector<std::string> m_known;
};

}  // namespace citrongrade
