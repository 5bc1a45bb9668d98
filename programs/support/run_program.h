#pragma once

#include <spdlog/spdlog.h>

#include <cstdlib>
#include <exception>

#include "programs/support/logging_setup.h"

namespace citrongrade {

// What every main() does: sets up the log, runs the program, and says why one
// ended by an exception. `failed` is the exit status in that case.
template <typename Run>
int RunProgram(Run run, int argc, char** argv, int failed = EXIT_FAILURE) {
  SetUpLogging();
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    spdlog::critical("event=start-failed reason=\"{}\"", error.what());
    return failed;
  }
}

}  // namespace citrongrade
