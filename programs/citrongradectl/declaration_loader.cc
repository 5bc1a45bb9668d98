#include "programs/citrongradectl/declaration_loader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <system_error>

#include "modules/protocol/yaml_reader.h"
#include "programs/citrongradectl/ctl_errors.h"

namespace citrongrade {

namespace {

namespace fs = std::filesystem;

bool IsDeclaration(const fs::path& path) {
  return path.extension() == ".yaml" || path.extension() == ".yml";
}

void AddDirectory(const fs::path& directory, std::vector<std::string>& files) {
  std::vector<std::string> found;
  for (const auto& entry : fs::recursive_directory_iterator(directory)) {
    if (entry.is_regular_file() && IsDeclaration(entry.path())) {
      found.push_back(entry.path().string());
    }
  }
  if (found.empty()) {
    throw UnreadableFileError(directory.string() +
                              ": holds no *.yaml or *.yml");
  }
  std::sort(found.begin(), found.end());
  files.insert(files.end(), found.begin(), found.end());
}

std::string PercentDecode(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  // One byte more than a declaration may have, so that the reader refuses it.
  std::string text(YamlReader::kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad()) {
    throw UnreadableFileError(path + ": can't be read");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

}  // namespace

std::vector<DeclarationFile> DeclarationLoader::Load(
    const std::vector<std::string>& paths) {
  std::vector<std::string> names;
  try {
    for (const std::string& path : paths) {
      if (fs::is_directory(path)) {
        AddDirectory(path, names);
      } else {
        names.push_back(path);
      }
    }
  } catch (const fs::filesystem_error& error) {
    throw UnreadableFileError(error.what());
  }
  std::vector<DeclarationFile> files;
  files.reserve(names.size());
  for (const std::string& name : names) {
    files.push_back({name, PercentDecode(name)});
  }
  return files;
}

}  // namespace citrongrade
