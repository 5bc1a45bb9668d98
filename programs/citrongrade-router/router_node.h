#pragma once

#include <memory>

#include "platform/settings_file.h"
#include "programs/citrongrade-router/router_settings.h"

namespace citrongrade {

// A router node on the platform, with all its components on one event loop. See
// also: Node, for hosts whose log is a plain one.
class RouterNode {
 public:
  // Throws HttpServerStartError, AddressInUseError.
  RouterNode(const RouterSettings& settings,
             const platform::SettingsFile& file);
  ~RouterNode();
  RouterNode(const RouterNode&) = delete;
  RouterNode& operator=(const RouterNode&) = delete;

  // Serves requests until a signal stops the node and it has handed over its
  // keys.
  void Run();

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
