#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "programs/citrongrade-target-standin/cancellation.h"

namespace citrongrade {

// The requests inside the target, by request id, so that they can be cancelled.
// Thread-safe.
class RunningRequests {
 public:
  std::shared_ptr<Cancellation> Begin(const std::string& request_id) {
    const std::lock_guard lock(m_mutex);
    auto& cancellation = m_requests[request_id];
    cancellation = std::make_shared<Cancellation>();
    return cancellation;
  }

  void End(const std::string& request_id) {
    const std::lock_guard lock(m_mutex);
    m_requests.erase(request_id);
  }

  // Nothing happens for an id that isn't here: it ended, or never came.
  void Cancel(const std::string& request_id) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_requests.find(request_id);
    if (found != m_requests.end())
      found->second->Cancel();
  }

 private:
  std::mutex m_mutex;
  std::unordered_map<std::string, std::shared_ptr<Cancellation>> m_requests;
};

}  // namespace citrongrade
