#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <random>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/admission_changes.h"
#include "modules/coordination/load/admission_decision.h"
#include "modules/coordination/load/admission_status.h"
#include "modules/coordination/load/burst_credit.h"
#include "modules/coordination/load/cold_start_ramp.h"
#include "modules/coordination/load/concurrency_limit.h"
#include "modules/coordination/load/request_metadata.h"
#include "modules/coordination/load/request_queue.h"
#include "modules/coordination/load/target_call_outcome.h"

namespace citrongrade {

// Limits how many requests one target runs at once, queues the excess in fair
// order and refuses what can't be finished in time. It combines the concurrency
// limit, the queues, the burst credit and the Retry-After values; the target's
// own node uses them only through this class.
//
// Usage: call Offer() for each request; run the admitted ones and call
// OnFinished() exactly once for each that ran. Call Poll() after every
// OnFinished() and Cancel(), and also every kPollInterval; run what it admits,
// answer what it refuses, cancel what is overdue. Create one controller for
// each target. Thread-confined; it never blocks and sends nothing.
//
// Load patterns: saturation, and long requests mixed with short ones. Without
// admission control, excess requests wait until their deadline and are then run
// although their callers have left: at three times the capacity, goodput falls
// towards zero. A request that can't be finished in time is refused with a
// Retry-After as soon as this is known, and never held until its deadline.
//
// Long work uses the capacity that short work hasn't used recently, and always
// at least a quarter of the limit, so that neither class starves the other.
//
// Not decided here: whether this node may serve the key (its lease is checked
// after the queueing), which target runs a request of a service that isn't
// sharded by key (TargetPicker), and retries (RetryBudget).
class AdmissionController {
 public:
  struct Parameters {
    // Declared by the target.
    std::size_t declared_concurrency = 1;
    std::size_t connections = 1;
    // False for a target that was already serving before this node started.
    bool starts_cold = true;
    ColdStartRamp::Parameters ramp;
    // Bounds for the queue of each work class.
    RequestQueue::Parameters short_queue;
    RequestQueue::Parameters long_queue;
    // Longest queueing time without burst credit; long work may instead wait
    // for two of its mean run times, if that is more.
    std::chrono::milliseconds max_wait_without_credit{200};
    // Length of a burst at full capacity that the full credit covers.
    std::chrono::seconds burst_duration{60};
    // Idle time that refills the credit completely.
    std::chrono::seconds burst_refill_time{300};
    // Assumed service times until the first measurement.
    std::chrono::milliseconds initial_short_service_time{20};
    std::chrono::milliseconds initial_long_service_time{500};

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  static constexpr std::chrono::milliseconds kPollInterval{20};

  AdmissionController(const Clock& clock,
                      std::mt19937_64& random,
                      const Parameters& parameters);
  ~AdmissionController();
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  AdmissionDecision Offer(const RequestMetadata& request);

  // `latency`: from sending the request to the target until the end of the
  // answer. Throws UnknownTicketError if the request isn't running.
  void OnFinished(RequestTicket ticket,
                  TargetCallOutcome outcome,
                  Clock::Duration latency);

  AdmissionChanges Poll();

  enum class CancelResult {
    kUnknown,
    // The request never reached the target.
    kRemovedFromQueue,
    // Cancel it at the target, and report its end by OnFinished().
    kRunning,
  };

  CancelResult Cancel(RequestTicket ticket);

  // Refuses every later Offer(), and all queued requests at the next Poll().
  // Running requests continue. For a target that drains or has lost its owner.
  void StopAdmitting();

  AdmissionStatus Status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
