#pragma once

namespace citrongrade {

// Initializes CivetWeb once in a process. Called by all that use it: the
// library's own initialization is not safe between threads.
void InitializeHttpLibrary();

}  // namespace citrongrade
