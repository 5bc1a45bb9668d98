#include "programs/citrongradectl/validate_command.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <ostream>

#include "modules/protocol/declaration_set.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/declaration_loader.h"

namespace citrongrade {

const char* ValidateCommand::Name() const {
  return "validate";
}

const char* ValidateCommand::Description() const {
  return "check declarations; reads files only";
}

const char* ValidateCommand::Examples() const {
  return "Example:\n  citrongradectl validate declarations/";
}

void ValidateCommand::AddOptions(CLI::App& app) {
  app.add_option("paths", m_paths, "files, or directories of *.yaml")
      ->required();
}

bool ValidateCommand::NeedsLog() const {
  return false;
}

ExitCode ValidateCommand::Run(CommandContext& context) {
  const DeclarationSet set =
      DeclarationSet::Read(DeclarationLoader::Load(m_paths), {});
  const std::size_t count = set.declarations().size();
  if (context.settings().json) {
    context.PrintJson({{"valid", true}, {"declarations", count}});
  } else {
    context.out() << count << " declarations are valid\n";
  }
  return ExitCode::kOk;
}

}  // namespace citrongrade
