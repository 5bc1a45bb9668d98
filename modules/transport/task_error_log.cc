#include "modules/transport/task_error_log.h"

#include <spdlog/spdlog.h>

namespace citrongrade {

void TaskErrorLog::taskFailed(kj::Exception&& exception) {
  spdlog::error("event=rpc-task-failed reason=\"{}\"",
                exception.getDescription().cStr());
}

}  // namespace citrongrade
