#include "modules/transport/http_library.h"

#include <civetweb.h>

#include <csignal>
#include <mutex>

namespace citrongrade {

void InitializeHttpLibrary() {
  static std::once_flag once;
  std::call_once(once, [] {
    // A write to a connection that the peer closed would end the process.
    std::signal(SIGPIPE, SIG_IGN);
    mg_init_library(MG_FEATURES_DEFAULT);
  });
}

}  // namespace citrongrade
