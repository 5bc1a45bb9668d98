#pragma once

#include <memory>

#include "platform/settings_file.h"
#include "programs/citrongrade-router/router_settings.h"

namespace citrongrade {

// One node on the platform: everything in it, on one event loop. Kin: Node, for
// hosts whose log is a plain one.
class RouterNode {
 public:
  // Throws HttpServerStartError, AddressInUseError.
  RouterNode(const RouterSettings& settings,
             const platform::SettingsFile& file);
  ~RouterNode();
  RouterNode(const RouterNode&) = delete;
  RouterNode& operator=(const RouterNode&) = delete;

  // Serves until it is told to stop by a signal and has given its keys away.
  void Run();

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
