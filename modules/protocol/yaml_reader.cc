#include "modules/protocol/yaml_reader.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>

#include "modules/protocol/problem_list.h"

namespace citrongrade {

using nlohmann::json;

namespace {

bool IsUtf8(std::string_view text) {
  try {
    json(text).dump();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

// A parser's message quotes what it stumbled over, which may be half a
// character.
std::string ReplaceBadUtf8(const std::string& text) {
  constexpr int kOneLine = -1;
  const std::string quoted =
      json(text).dump(kOneLine, ' ', false, json::error_handler_t::replace);
  return json::parse(quoted).get<std::string>();
}

int LineOf(const YAML::Mark& mark) {
  return mark.is_null() ? 0 : mark.line + 1;
}

bool IsWholeNumber(std::string_view text) {
  if (!text.empty() && text.front() == '-') {
    text.remove_prefix(1);
  }
  const bool digits =
      !text.empty() && std::all_of(text.begin(), text.end(), [](char byte) {
        return byte >= '0' && byte <= '9';
      });
  // Other readers take 010 for 8; it is left as text, which no number accepts.
  const bool leading_zero = text.size() > 1 && text.front() == '0';
  return digits && !leading_zero;
}

json ReadPlain(const std::string& text) {
  if (text == "true" || text == "false") {
    return text == "true";
  }
  if (text == "null" || text == "~" || text.empty()) {
    return nullptr;
  }
  if (IsWholeNumber(text)) {
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec == std::errc()) {
      return number < 0 ? json(number)
                        : json(static_cast<std::uint64_t>(number));
    }
  }
  return text;
}

std::string JoinPath(const std::string& path, const std::string& name) {
  std::string joined = path;
  if (!joined.empty()) {
    joined += ".";
  }
  joined += name;
  return joined;
}

// Takes a document's events and keeps nothing.
class IgnoreEvents final : public YAML::EventHandler {
 public:
  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& /*mark*/, YAML::anchor_t /*anchor*/) override {}
  void OnAlias(const YAML::Mark& /*mark*/, YAML::anchor_t /*anchor*/) override {
  }
  void OnScalar(const YAML::Mark& /*mark*/,
                const std::string& /*tag*/,
                YAML::anchor_t /*anchor*/,
                const std::string& /*value*/) override {}
  void OnSequenceStart(const YAML::Mark& /*mark*/,
                       const std::string& /*tag*/,
                       YAML::anchor_t /*anchor*/,
                       YAML::EmitterStyle::value /*style*/) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark& /*mark*/,
                  const std::string& /*tag*/,
                  YAML::anchor_t /*anchor*/,
                  YAML::EmitterStyle::value /*style*/) override {}
  void OnMapEnd() override {}
};

// YAML::LoadAll is not used for it: on text that goes on after a document with
// what starts none, for example a comma, it finds one empty document after the
// other and fills the memory.
bool HoldsOneDocument(const std::string& text) {
  std::istringstream stream(text);
  YAML::Parser parser(stream);
  IgnoreEvents ignore;
  return parser.HandleNextDocument(ignore) &&
         !parser.HandleNextDocument(ignore);
}

class Converter {
 public:
  explicit Converter(ProblemList& problems) : m_problems(problems) {}

  json Convert(const YAML::Node& node,
               const std::string& path,
               std::size_t depth) {
    if (IsTooMuch(node, depth)) {
      return nullptr;
    }
    switch (node.Type()) {
      case YAML::NodeType::Scalar:
        return ConvertScalar(node);
      case YAML::NodeType::Sequence:
        return ConvertList(node, path, depth);
      case YAML::NodeType::Map:
        return ConvertMap(node, path, depth);
      default:
        return nullptr;
    }
  }

 private:
  // A few lines of aliases that name each other stand for billions of values,
  // and an alias inside its own anchor for endlessly many: both are cut off by
  // counting what is read, not what is written.
  bool IsTooMuch(const YAML::Node& node, std::size_t depth) {
    ++m_count;
    if (m_count <= YamlReader::kMaxValues && depth <= YamlReader::kMaxDepth) {
      return false;
    }
    if (!m_told) {
      m_problems.AddAtLine(LineOf(node.Mark()),
                           "holds too many values or is too deep");
      m_told = true;
    }
    return true;
  }

  json ConvertScalar(const YAML::Node& node) {
    // yaml-cpp gives quoted scalars the tag "!" and plain ones "?" or none.
    const std::string& tag = node.Tag();
    // The file is UTF-8, but an escape such as "\ud800" is half a character.
    if (!IsUtf8(node.Scalar())) {
      m_problems.AddAtLine(LineOf(node.Mark()), "holds a bad escape");
      return nullptr;
    }
    if (tag == "!") {
      return node.Scalar();
    }
    if (tag != "?" && !tag.empty()) {
      m_problems.AddAtLine(LineOf(node.Mark()), "tags are not supported");
    }
    return ReadPlain(node.Scalar());
  }

  json ConvertList(const YAML::Node& node,
                   const std::string& path,
                   std::size_t depth) {
    json list = json::array();
    for (const YAML::Node& item : node) {
      if (m_told) {
        break;
      }
      list.push_back(Convert(item, path, depth + 1));
    }
    return list;
  }

  json ConvertMap(const YAML::Node& node,
                  const std::string& path,
                  std::size_t depth) {
    json object = json::object();
    for (const auto& field : node) {
      if (m_told) {
        break;
      }
      const int line = LineOf(field.first.Mark());
      if (!field.first.IsScalar()) {
        m_problems.AddAtLine(line, "a field's name has to be a text");
        continue;
      }
      const std::string& name = field.first.Scalar();
      if (!IsUtf8(name)) {
        m_problems.AddAtLine(line, "a field's name holds a bad escape");
        continue;
      }
      const std::string field_path = JoinPath(path, name);
      if (object.contains(name)) {
        m_problems.AddAtLine(line, field_path + ": is given twice");
        continue;
      }
      m_problems.SetLine(field_path, line);
      object[name] = Convert(field.second, field_path, depth + 1);
    }
    return object;
  }

  ProblemList& m_problems;
  std::size_t m_count = 0;
  bool m_told = false;
};

bool CheckText(std::string_view text, ProblemList& problems) {
  if (text.size() > YamlReader::kMaxFileBytes) {
    problems.AddAtLine(0, "is longer than " +
                              std::to_string(YamlReader::kMaxFileBytes) +
                              " bytes");
    return false;
  }
  if (!IsUtf8(text)) {
    problems.AddAtLine(0, "is not UTF-8 text");
    return false;
  }
  return true;
}

}  // namespace

json YamlReader::Read(std::string_view text, ProblemList& problems) {
  if (!CheckText(text, problems)) {
    return nullptr;
  }
  try {
    const std::string owned(text);
    if (!HoldsOneDocument(owned)) {
      problems.AddAtLine(0, "has to hold exactly one YAML document");
      return nullptr;
    }
    problems.SetLine("", 1);
    return Converter(problems).Convert(YAML::Load(owned), "", 0);
  } catch (const YAML::Exception& error) {
    problems.AddAtLine(LineOf(error.mark),
                       "is not YAML: " + ReplaceBadUtf8(error.msg));
    return nullptr;
  }
}

}  // namespace citrongrade
