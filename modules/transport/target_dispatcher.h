#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "modules/coordination/load/admission_status.h"
#include "modules/transport/request_carrier.h"
#include "modules/transport/target_announcement.h"

namespace citrongrade {

class Clock;
class RequestGuard;

// Runs requests at this node's own target: grant, registration of protected
// ids, admission and its queue, and a pool of threads that call the target.
// Every request that it takes is answered, by its deadline at the latest.
//
// Thread-safe; Carry never blocks. Kin: TargetCall, one call of one thread.
class TargetDispatcher final : public RequestCarrier {
 public:
  struct Status {
    std::optional<TargetAnnouncement> target;
    std::chrono::milliseconds since_announced{0};
    AdmissionStatus admission;
    std::size_t threads = 0;
    std::size_t idle_connections = 0;
    std::size_t under_way = 0;
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t late_answers = 0;
    std::uint64_t cancelled_at_target = 0;
    std::uint64_t quarantined = 0;

    friend auto operator<=>(const Status&, const Status&) = default;
  };

  // A target that has not announced itself for so long gets no new work: it
  // may have been replaced by nothing at all.
  static constexpr std::chrono::seconds kAnnouncementTimeout{4};

  // The guard outlives it.
  TargetDispatcher(const Clock& clock, RequestGuard& guard);
  // Waits for the calls that run.
  ~TargetDispatcher() override;
  TargetDispatcher(const TargetDispatcher&) = delete;
  TargetDispatcher& operator=(const TargetDispatcher&) = delete;

  void OnAnnouncement(const TargetAnnouncement& announcement);
  void Carry(const std::shared_ptr<RequestTransfer>& transfer) override;

  // Nothing until the first announcement.
  std::optional<TargetAnnouncement> target() const;
  Status GetStatus() const;
  // No request waits or runs here.
  bool IsIdle() const;

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
