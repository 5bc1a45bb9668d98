#pragma once

namespace citrongrade {

// Names the calling thread after its duty, as operators see it in top and perf.
// At most 15 bytes.
void NameThread(const char* duty);

}  // namespace citrongrade
