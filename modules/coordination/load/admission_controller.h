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

// What one target is let to run, what waits for it, and what is turned away.
// The one face of the decisions at the target's own node.
//
// How to use it: Offer() each request; run what is admitted, and call
// OnFinished() exactly once for each that ran. Call Poll() after every
// OnFinished() and Cancel(), and every kPollInterval besides; run what it
// admits, answer what it refuses, cancel what is overdue. One controller for
// each target, on one thread (thread-confined). It never blocks or sends.
//
// Load patterns: saturation, and long work among short. Without it excess work
// waits until its deadline and is then run for nobody: goodput falls towards
// nothing at three times the capacity. Given up means answered: a request that
// can't be finished in time is refused the moment that shows, with a
// Retry-After, never held until its deadline.
//
// Long work runs on what short work has not lately used, and always on at least
// a quarter of the limit, so that neither starves the other.
//
// Not here: whether this node may serve the key (leases, checked after the
// wait), where undivided work goes (TargetPicker), retries (RetryBudget).
class AdmissionController {
 public:
  struct Parameters {
    // What the target declared.
    std::size_t declared_concurrency = 1;
    std::size_t connections = 1;
    // False for a target that was seen serving before this node started.
    bool starts_cold = true;
    ColdStartRamp::Parameters ramp;
    // Bounds for each class of work on its own.
    RequestQueue::Parameters short_queue;
    RequestQueue::Parameters long_queue;
    // Longest wait without burst credit.
    std::chrono::milliseconds max_wait_without_credit{200};
    // Length of a rush that full credit carries at full capacity.
    std::chrono::seconds burst_duration{60};
    // Idle time that earns full credit.
    std::chrono::seconds burst_refill_time{300};
    // Until measured.
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

  AdmissionDecision Offer(const RequestMetadata& facts);

  // `latency` from giving it to the target until the answer's end. Throws
  // UnknownTicketError when the ticket does not run here.
  void OnFinished(RequestTicket ticket,
                  TargetCallOutcome outcome,
                  Clock::Duration latency);

  AdmissionChanges Poll();

  enum class CancelResult {
    kUnknown,
    // It never reached the target.
    kRemovedFromQueue,
    // Cancel it at the target; report its end by OnFinished().
    kRunning,
  };

  CancelResult Cancel(RequestTicket ticket);

  // From now on every Offer() is refused; what waits is refused by the next
  // Poll(); what runs goes on. For a target that drains or lost its owner.
  void StopAdmitting();

  AdmissionStatus Status() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
