#pragma once

#include <string>
#include <string_view>

namespace citrongrade {

// The rule for names of workspaces, services, templates and parameters. They
// stand in paths of URLs and in logs, so they hold nothing that has to be
// quoted there.
class DeclarationName {
 public:
  static constexpr std::size_t kMaxBytes = 64;

  static bool IsValid(std::string_view name);
  static std::string Describe();
};

}  // namespace citrongrade
