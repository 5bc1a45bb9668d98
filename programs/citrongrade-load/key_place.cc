#include "programs/citrongrade-load/key_place.h"

#include <string>

#include "programs/support/settings_error.h"

namespace citrongrade {

KeyPlace KeyPlace::Parse(const std::string& text) {
  const std::size_t colon = text.find(':');
  const std::string kind = text.substr(0, colon);
  const std::string name =
      colon == std::string::npos ? "" : text.substr(colon + 1);
  if (kind == "none" && name.empty())
    return {.kind = Kind::kNone, .name = ""};
  if (kind == "path" && name.empty())
    return {.kind = Kind::kPath, .name = ""};
  if (kind == "header" && !name.empty())
    return {.kind = Kind::kHeader, .name = name};
  if (kind == "query" && !name.empty())
    return {.kind = Kind::kQuery, .name = name};
  throw SettingsError("\"" + text +
                      "\" is not none, path, header:NAME or query:NAME");
}

}  // namespace citrongrade
