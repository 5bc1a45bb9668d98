#pragma once

#include <string>
#include <thread>
#include <utility>

#include "modules/transport/bounded_ring.h"
#include "modules/transport/http_address.h"

namespace citrongrade {

// Tells a target that nobody waits for a request any more, on a thread of its
// own, since a target that must be told is often one that is slow. A hint: what
// finds the ring full, or fails, is dropped; the request then runs to its end.
class TargetCanceller {
 public:
  TargetCanceller();
  ~TargetCanceller();
  TargetCanceller(const TargetCanceller&) = delete;
  TargetCanceller& operator=(const TargetCanceller&) = delete;

  void Cancel(const HttpAddress& target, const std::string& request_id);

 private:
  using Item = std::pair<HttpAddress, std::string>;

  void Main();

  BoundedRing<Item> m_ring;
  std::thread m_thread;
};

}  // namespace citrongrade
