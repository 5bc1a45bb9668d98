#include "modules/protocol/declaration_set.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "modules/protocol/declaration_resolver.h"
#include "modules/protocol/invalid_declaration_error.h"
#include "modules/protocol/nearest_name.h"
#include "modules/protocol/problem_list.h"
#include "modules/protocol/service_declaration_parser.h"
#include "modules/protocol/template_parser.h"
#include "modules/protocol/yaml_reader.h"
#include "modules/state/size_limits.h"

namespace citrongrade {

using nlohmann::json;

namespace {

struct OpenFile {
  const DeclarationFile* file;
  ProblemList problems;
  json body;
};

class SetReader {
 public:
  explicit SetReader(const std::vector<ConfigEntry>& in_force) {
    for (const ConfigEntry& entry : in_force) {
      ProblemList problems;
      const json body = json::parse(entry.body, nullptr, false);
      ServiceTemplate parsed = TemplateParser::Parse(body, problems);
      if (problems.empty()) {
        m_templates.insert_or_assign(entry.name, std::move(parsed));
      }
    }
  }

  // Templates are read before services, which need them.
  std::vector<Declaration> Read(const std::vector<DeclarationFile>& files) {
    std::vector<OpenFile> open = OpenAll(files);
    for (OpenFile& file : open) {
      if (KindOf(file) == "template") {
        ReadTemplate(file);
      }
    }
    for (OpenFile& file : open) {
      const std::string kind = KindOf(file);
      if (kind == "service") {
        ReadService(file);
      } else if (kind != "template" && file.problems.empty()) {
        file.problems.Add("kind", "has to be template or service",
                          NearestName::Find(kind, {"template", "service"}));
      }
    }
    ThrowIfAny(open);
    std::sort(m_declarations.begin(), m_declarations.end());
    return std::move(m_declarations);
  }

 private:
  static std::vector<OpenFile> OpenAll(
      const std::vector<DeclarationFile>& files) {
    std::vector<OpenFile> open;
    for (const DeclarationFile& file : files) {
      OpenFile& added =
          open.emplace_back(OpenFile{&file, ProblemList(file.name), {}});
      added.body = YamlReader::Read(file.text, added.problems);
    }
    return open;
  }

  static std::string KindOf(const OpenFile& file) {
    if (!file.body.is_object()) {
      return {};
    }
    const auto kind = file.body.find("kind");
    const bool is_text = kind != file.body.end() && kind->is_string();
    return is_text ? kind->get<std::string>() : std::string();
  }

  void ReadTemplate(OpenFile& file) {
    ServiceTemplate parsed = TemplateParser::Parse(file.body, file.problems);
    const std::string name = parsed.name.value();
    m_names_in_files.push_back(name);
    if (file.problems.empty()) {
      m_templates.insert_or_assign(name, std::move(parsed));
    }
    Add(ConfigKind::kTemplate, name, file);
  }

  void ReadService(OpenFile& file) {
    const ServiceDeclaration declaration =
        ServiceDeclarationParser::Parse(file.body, file.problems);
    const std::string& name = declaration.template_name.value();
    const auto found = m_templates.find(name);
    if (found != m_templates.end()) {
      DeclarationResolver::Resolve(found->second, declaration, file.problems);
    } else if (!name.empty() && !IsInFiles(name)) {
      file.problems.Add("template", "no template " + name + " is known",
                        NearestName::Find(name, TemplateNames()));
    }
    Add(ConfigKind::kService, declaration.id.ToString(), file);
  }

  // A template with problems of its own is not reported as missing too.
  bool IsInFiles(const std::string& name) const {
    return std::find(m_names_in_files.begin(), m_names_in_files.end(), name) !=
           m_names_in_files.end();
  }

  std::vector<std::string> TemplateNames() const {
    std::vector<std::string> names = m_names_in_files;
    for (const auto& [name, parsed] : m_templates) {
      names.push_back(name);
    }
    return names;
  }

  void Add(ConfigKind kind, const std::string& name, OpenFile& file) {
    const auto [known, is_new] =
        m_file_of_name.try_emplace({kind, name}, file.file->name);
    if (!is_new && file.problems.empty()) {
      file.problems.Add("name",
                        name + " is declared in " + known->second + " too");
    }
    if (!file.problems.empty()) {
      return;
    }
    std::string body = file.body.dump();
    if (body.size() > SizeLimits::kMaxConfigBodyBytes) {
      file.problems.Add("",
                        "is longer than " +
                            std::to_string(SizeLimits::kMaxConfigBodyBytes) +
                            " bytes as JSON");
    }
    m_declarations.push_back({kind, name, std::move(body), file.file->name});
  }

  static void ThrowIfAny(const std::vector<OpenFile>& files) {
    std::vector<DeclarationProblem> all;
    for (const OpenFile& file : files) {
      const std::vector<DeclarationProblem>& found = file.problems.problems();
      all.insert(all.end(), found.begin(), found.end());
    }
    if (!all.empty()) {
      const std::string summary =
          std::to_string(all.size()) + " problems in the declarations";
      throw InvalidDeclarationError(summary, std::move(all));
    }
  }

  std::map<std::string, ServiceTemplate> m_templates;
  std::vector<std::string> m_names_in_files;
  std::map<std::pair<ConfigKind, std::string>, std::string> m_file_of_name;
  std::vector<Declaration> m_declarations;
};

}  // namespace

DeclarationSet DeclarationSet::Read(const std::vector<DeclarationFile>& files,
                                    const std::vector<ConfigEntry>& in_force) {
  DeclarationSet set;
  set.m_declarations = SetReader(in_force).Read(files);
  return set;
}

}  // namespace citrongrade
