#pragma once

#include <kj/async.h>

namespace citrongrade {

// Cap'n Proto deletes its handlers as what they are, never through the base, so
// the base has no virtual destructor.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

// Logs what fails in a kj::TaskSet whose tasks nobody waits for.
class TaskErrorLog final : public kj::TaskSet::ErrorHandler {
 public:
  void taskFailed(kj::Exception&& exception) override;
};

#pragma GCC diagnostic pop

}  // namespace citrongrade
