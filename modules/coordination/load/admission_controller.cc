#include "modules/coordination/load/admission_controller.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cassert>
#include <cmath>
#include <cstdint>
#include <unordered_map>
#include <utility>

#include "modules/coordination/load/load_errors.h"
#include "modules/coordination/load/retry_after_pacer.h"
#include "modules/coordination/load/service_time_estimator.h"

namespace citrongrade {

namespace {

namespace acc = boost::accumulators;

// Each work class is guaranteed the limit divided by this.
constexpr std::size_t kGuaranteedLimitDivisor = 4;

// Time constant of the moving average of short work's demand.
constexpr std::chrono::duration<double> kDemandTimeConstant(2.0);

// Below this demand short work counts as absent, and long work may use the
// whole limit.
constexpr double kNegligibleDemand = 0.05;

// Long work may wait for this many of its own mean run times. With the bound
// for short work alone, an upload could never wait for the one before it.
constexpr int kMaxLongWaitInRuns = 2;

std::size_t IndexOf(WorkClass work_class) {
  return static_cast<std::size_t>(work_class);
}

double ToSeconds(Clock::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// A target that finishes nothing for this many times the longest expected run
// time counts as frozen. A target that is merely ten times slower still
// finishes runs within that time.
constexpr int kStallThresholdInRuns = 10;

constexpr int kMaxSampleFactorAfterStall = 2;

// Exponential moving average of the number of short requests that run or wait.
class DemandAverage {
 public:
  explicit DemandAverage(const Clock& clock)
      : m_clock(clock), m_updated(clock.Now()) {}

  // `demand` applies from now on; the previous value applied until now.
  void Set(std::size_t demand) {
    m_average = average();
    m_updated = m_clock.Now();
    m_demand = static_cast<double>(demand);
  }

  double average() const {
    const std::chrono::duration<double> elapsed = m_clock.Now() - m_updated;
    const double decay = std::exp(-elapsed / kDemandTimeConstant);
    return m_demand + (m_average - m_demand) * decay;
  }

 private:
  const Clock& m_clock;
  double m_average = 0;
  double m_demand = 0;
  Clock::TimePoint m_updated;
};

struct RunningRequest {
  WorkClass work_class = WorkClass::kShort;
  Clock::TimePoint started;
  Clock::TimePoint deadline;
  bool reported_overdue = false;
};

BurstCredit::Parameters BurstCreditParametersFor(
    const AdmissionController::Parameters& parameters) {
  const double capacity = static_cast<double>(parameters.declared_concurrency) *
                          ToSeconds(parameters.burst_duration);
  return {capacity, capacity / ToSeconds(parameters.burst_refill_time)};
}

ConcurrencyLimit::Parameters ConcurrencyLimitParametersFor(
    const AdmissionController::Parameters& parameters) {
  ConcurrencyLimit::Parameters limit;
  limit.declared_concurrency = parameters.declared_concurrency;
  limit.declared_connections = parameters.connections;
  return limit;
}

ColdStartRamp MakeColdStartRamp(
    const Clock& clock,
    const AdmissionController::Parameters& parameters) {
  if (parameters.starts_cold) {
    return {clock, parameters.ramp};
  }
  return ColdStartRamp::Finished(clock);
}

}  // namespace

class AdmissionController::Impl {
 public:
  Impl(const Clock& clock,
       std::mt19937_64& random,
       const Parameters& parameters)
      : m_clock(clock),
        m_parameters(parameters),
        m_limit(clock, ConcurrencyLimitParametersFor(parameters)),
        m_ramp(MakeColdStartRamp(clock, parameters)),
        m_credit(clock, BurstCreditParametersFor(parameters)),
        m_pacer(clock, random, RetryAfterPacer::Parameters{}),
        m_queues{RequestQueue(parameters.short_queue),
                 RequestQueue(parameters.long_queue)},
        m_service_times{
            ServiceTimeEstimator(parameters.initial_short_service_time),
            ServiceTimeEstimator(parameters.initial_long_service_time)},
        m_short_demand(clock),
        m_last_progress(clock.Now()),
        m_last_sweep(clock.Now()) {
    UpdateLoad();
  }

  AdmissionDecision Offer(const RequestMetadata& request) {
    if (m_stopped) {
      return Refuse(request.work_class, RefusalReason::kTargetLeaving, {});
    }
    if (CanStartImmediately(request.work_class)) {
      return StartOrRefuseOffered(request);
    }
    return QueueOrRefuse(request);
  }

  void OnFinished(RequestTicket ticket,
                  TargetCallOutcome outcome,
                  Clock::Duration latency) {
    const auto found = m_running.find(ticket);
    if (found == m_running.end()) {
      throw UnknownTicketError(ticket);
    }
    const WorkClass work_class = found->second.work_class;
    if (IsServiceTimeSample(work_class, outcome, latency)) {
      RecordServiceTime(found->second, latency);
    }
    --m_running_of[IndexOf(work_class)];
    m_running.erase(found);
    m_last_progress = m_clock.Now();
    UpdateLoad();
  }

  AdmissionChanges Poll() {
    AdmissionChanges changes;
    if (m_stopped) {
      RefuseAllQueued();
    }
    SweepWhenDue(changes);
    StartQueued(changes);
    changes.refused = std::exchange(m_refused, {});
    UpdateLoad();
    return changes;
  }

  CancelResult Cancel(RequestTicket ticket) {
    if (m_running.contains(ticket)) {
      return CancelResult::kRunning;
    }
    for (RequestQueue& queue : m_queues) {
      if (queue.Cancel(ticket)) {
        UpdateLoad();
        return CancelResult::kRemovedFromQueue;
      }
    }
    return CancelResult::kUnknown;
  }

  void StopAdmitting() { m_stopped = true; }

  AdmissionStatus Status() const {
    AdmissionStatus status;
    status.limit = EffectiveLimit();
    status.running = m_running.size();
    status.running_long = RunningOf(WorkClass::kLong);
    status.waiting = Waiting();
    status.waiting_bytes = m_queues[0].bytes() + m_queues[1].bytes();
    status.burst_credit = m_credit.available();
    status.admitted_total = m_admitted_total;
    status.refused_total = m_refused_total;
    // The mean of an empty accumulator is not a number.
    if (acc::count(m_wait_times) > 0) {
      status.mean_wait = std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::duration<double>(acc::mean(m_wait_times)));
    }
    return status;
  }

 private:
  RequestQueue& QueueOf(WorkClass work_class) {
    return m_queues[IndexOf(work_class)];
  }

  const RequestQueue& QueueOf(WorkClass work_class) const {
    return m_queues[IndexOf(work_class)];
  }

  const ServiceTimeEstimator& ServiceTimeOf(WorkClass work_class) const {
    return m_service_times[IndexOf(work_class)];
  }

  std::size_t RunningOf(WorkClass work_class) const {
    return m_running_of[IndexOf(work_class)];
  }

  std::size_t Waiting() const {
    return m_queues[0].size() + m_queues[1].size();
  }

  std::size_t EffectiveLimit() const {
    const double ramped = static_cast<double>(m_limit.limit()) * m_ramp.Share();
    return std::max<std::size_t>(1, static_cast<std::size_t>(ramped));
  }

  std::size_t MinLongConcurrency() const {
    return std::max<std::size_t>(1, EffectiveLimit() / kGuaranteedLimitDivisor);
  }

  // Square-root staffing: reserves the mean demand of short work plus its
  // square root, so that short work rarely finds the capacity that it needs
  // taken by long work.
  std::size_t MaxLongConcurrency() const {
    const double demand = m_short_demand.average();
    if (demand < kNegligibleDemand) {
      return EffectiveLimit();
    }
    const double staffing = std::ceil(demand + std::sqrt(demand));
    const std::size_t reserved =
        std::max(static_cast<std::size_t>(staffing),
                 EffectiveLimit() / kGuaranteedLimitDivisor);
    const std::size_t guaranteed = MinLongConcurrency();
    return reserved + guaranteed >= EffectiveLimit()
               ? guaranteed
               : EffectiveLimit() - reserved;
  }

  bool CanStartImmediately(WorkClass work_class) const {
    if (!QueueOf(work_class).empty() || m_running.size() >= EffectiveLimit()) {
      return false;
    }
    return work_class == WorkClass::kShort || CanStartLong();
  }

  bool CanStartLong() const {
    const std::size_t running = RunningOf(WorkClass::kLong);
    if (running < MinLongConcurrency()) {
      return true;
    }
    return QueueOf(WorkClass::kShort).empty() && running < MaxLongConcurrency();
  }

  // While no request of its class is running, a request is admitted even if
  // past run times predict that it will be late. Otherwise a slow period that
  // raised the estimate above every deadline would refuse everything for good:
  // without runs the estimate is never corrected.
  bool IsProbe(WorkClass work_class) const {
    return RunningOf(work_class) == 0;
  }

  AdmissionDecision StartOrRefuseOffered(const RequestMetadata& request) {
    const Clock::TimePoint now = m_clock.Now();
    const bool in_time = IsProbe(request.work_class)
                             ? now < request.deadline
                             : now + ServiceTimeOf(request.work_class).mean() <=
                                   request.deadline;
    if (!in_time) {
      return Refuse(request.work_class, RefusalReason::kDeadlineTooClose, {});
    }
    Start(request);
    return {};
  }

  AdmissionDecision QueueOrRefuse(const RequestMetadata& request) {
    const std::size_t rank = QueueOf(request.work_class).RankOf(request);
    const Clock::Duration wait =
        ExpectedStall() +
        static_cast<std::int64_t>(rank + 1) * TimePerRank(request.work_class);
    const Clock::TimePoint end =
        m_clock.Now() + wait +
        ServiceTimeOf(request.work_class).upper_estimate();
    if (end > request.deadline) {
      return Refuse(request.work_class, RefusalReason::kDeadlineTooClose, wait);
    }
    const bool is_long_wait = wait > MaxWaitWithoutCredit(request.work_class);
    if (is_long_wait && !TrySpendCredit(request)) {
      return Refuse(request.work_class, RefusalReason::kOverloaded, wait);
    }
    return Enqueue(request, wait);
  }

  Clock::Duration MaxWaitWithoutCredit(WorkClass work_class) const {
    if (work_class == WorkClass::kShort) {
      return m_parameters.max_wait_without_credit;
    }
    return std::max<Clock::Duration>(
        m_parameters.max_wait_without_credit,
        kMaxLongWaitInRuns * ServiceTimeOf(work_class).mean());
  }

  // A caller that is over its fair share gets no credit: it would spend the
  // credit that all callers need, and they would then be refused because of its
  // burst.
  bool TrySpendCredit(const RequestMetadata& request) {
    if (QueueOf(request.work_class).IsOverFairShare(request)) {
      return false;
    }
    return m_credit.TrySpend(
        ToSeconds(ServiceTimeOf(request.work_class).mean()));
  }

  AdmissionDecision Enqueue(const RequestMetadata& request,
                            Clock::Duration wait) {
    const RequestQueue::PushResult result =
        QueueOf(request.work_class).Push(request, m_clock.Now());
    const RefusalReason reason = result.limited_by_bytes
                                     ? RefusalReason::kQueueBytesFull
                                     : RefusalReason::kQueueFull;
    for (const RequestMetadata& evicted : result.evicted) {
      RefuseQueued(evicted, reason, wait);
    }
    if (!result.accepted) {
      return Refuse(request.work_class, reason, wait);
    }
    UpdateLoad();
    return {AdmissionDecision::Verdict::kQueued, std::nullopt};
  }

  // The number of requests of the class that run at once when the limit is
  // fully used.
  std::size_t ConcurrencyOf(WorkClass work_class) const {
    if (work_class == WorkClass::kLong) {
      return std::max(MaxLongConcurrency(), MinLongConcurrency());
    }
    const std::size_t taken =
        std::min(RunningOf(WorkClass::kLong), MaxLongConcurrency());
    return std::max<std::size_t>(
        1, EffectiveLimit() - std::min(taken, EffectiveLimit() - 1));
  }

  Clock::Duration TimePerRank(WorkClass work_class) const {
    return ServiceTimeOf(work_class).mean() /
           static_cast<std::int64_t>(ConcurrencyOf(work_class));
  }

  // Expected remaining time of a stall. A frozen target finishes nothing, so
  // run times never reveal it. If nothing has finished for longer than a run
  // takes, the stall is expected to last as long again, and requests that can't
  // wait for that are refused at once.
  Clock::Duration ExpectedStall() const {
    if (m_running.empty()) {
      return {};
    }
    const Clock::Duration stalled_for = m_clock.Now() - m_last_progress;
    return stalled_for > LongestExpectedRunTime() ? stalled_for
                                                  : Clock::Duration(0);
  }

  // A refusal by the target is fast and says nothing about the time of a run. A
  // run without an answer took at least `latency`, so it counts only if that is
  // above the mean: after a lost connection `latency` may be close to zero, and
  // a crashing target would look like the fastest one.
  bool IsServiceTimeSample(WorkClass work_class,
                           TargetCallOutcome outcome,
                           Clock::Duration latency) const {
    if (outcome == TargetCallOutcome::kUnknown) {
      return latency > ServiceTimeOf(work_class).mean();
    }
    return outcome == TargetCallOutcome::kDone;
  }

  // Requests that ran through a freeze all end together when it is over, each
  // with the freeze in its latency. Recorded as run times, these would have
  // every request refused as too late just when the target has recovered. Only
  // the first one is recorded, and as at most kMaxSampleFactorAfterStall times
  // the upper estimate of the run time; if run times have really grown that
  // much, the next samples reach them in a few steps.
  void RecordServiceTime(const RunningRequest& ended, Clock::Duration latency) {
    const Clock::TimePoint now = m_clock.Now();
    if (now - m_last_progress >
        kStallThresholdInRuns * LongestExpectedRunTime()) {
      m_stall_ended = now;
      ServiceTimeEstimator& time = m_service_times[IndexOf(ended.work_class)];
      time.OnSample(std::min<Clock::Duration>(
          latency, kMaxSampleFactorAfterStall * time.upper_estimate()));
      return;
    }
    if (ended.started < m_stall_ended) {
      return;
    }
    m_limit.OnFinished(ended.work_class, latency, m_running.size());
    m_service_times[IndexOf(ended.work_class)].OnSample(latency);
  }

  Clock::Duration LongestExpectedRunTime() const {
    const bool runs_long = RunningOf(WorkClass::kLong) > 0;
    const Clock::Duration of_short =
        ServiceTimeOf(WorkClass::kShort).upper_estimate();
    return runs_long
               ? std::max(of_short,
                          ServiceTimeOf(WorkClass::kLong).upper_estimate())
               : of_short;
  }

  void Start(const RequestMetadata& request) {
    if (m_running.empty()) {
      m_last_progress = m_clock.Now();
    }
    const bool is_new =
        m_running
            .emplace(request.ticket,
                     RunningRequest{request.work_class, m_clock.Now(),
                                    request.deadline, false})
            .second;
    // A ticket must not be reused while its request waits or runs.
    assert(is_new);
    static_cast<void>(is_new);
    ++m_running_of[IndexOf(request.work_class)];
    ++m_admitted_total;
    UpdateLoad();
  }

  void StartQueued(AdmissionChanges& changes) {
    while (m_running.size() < EffectiveLimit()) {
      const std::optional<WorkClass> next = NextClass();
      if (!next) {
        return;
      }
      StartOrRefuse(*QueueOf(*next).Pop(), changes);
    }
  }

  std::optional<WorkClass> NextClass() const {
    const bool long_waits = !QueueOf(WorkClass::kLong).empty();
    if (long_waits && CanStartLong()) {
      return WorkClass::kLong;
    }
    if (!QueueOf(WorkClass::kShort).empty()) {
      return WorkClass::kShort;
    }
    return std::nullopt;
  }

  void StartOrRefuse(const RequestQueue::QueuedRequest& waiting,
                     AdmissionChanges& changes) {
    const RequestMetadata& request = waiting.request;
    const Clock::TimePoint now = m_clock.Now();
    const Clock::Duration needed =
        IsProbe(request.work_class)
            ? Clock::Duration(1)
            : ServiceTimeOf(request.work_class).upper_estimate();
    if (now + needed > request.deadline) {
      RefuseQueued(request, RefusalReason::kDeadlineTooClose, {});
      return;
    }
    m_wait_times(ToSeconds(now - waiting.enqueued_at));
    Start(request);
    changes.admitted.push_back(request.ticket);
  }

  void SweepWhenDue(AdmissionChanges& changes) {
    const Clock::TimePoint now = m_clock.Now();
    if (now - m_last_sweep < kPollInterval) {
      return;
    }
    m_last_sweep = now;
    RefuseUnmeetable(WorkClass::kShort);
    RefuseUnmeetable(WorkClass::kLong);
    ReportOverdue(changes);
  }

  void RefuseUnmeetable(WorkClass work_class) {
    const Clock::Duration time_to_first_end =
        ExpectedStall() + ServiceTimeOf(work_class).upper_estimate();
    const std::vector<RequestMetadata> unmeetable =
        QueueOf(work_class)
            .TakeUnmeetable(m_clock.Now() + time_to_first_end,
                            TimePerRank(work_class));
    for (const RequestMetadata& request : unmeetable) {
      RefuseQueued(request, RefusalReason::kDeadlineTooClose,
                   time_to_first_end);
    }
  }

  void ReportOverdue(AdmissionChanges& changes) {
    const Clock::TimePoint now = m_clock.Now();
    for (auto& [ticket, running] : m_running) {
      if (!running.reported_overdue && now >= running.deadline) {
        running.reported_overdue = true;
        changes.overdue.push_back(ticket);
      }
    }
  }

  void RefuseAllQueued() {
    for (RequestQueue& queue : m_queues) {
      for (const RequestMetadata& request : queue.TakeAll()) {
        RefuseQueued(request, RefusalReason::kTargetLeaving, {});
      }
    }
  }

  Refusal MakeRefusal(WorkClass work_class,
                      RefusalReason reason,
                      Clock::Duration wait) {
    ++m_refused_total;
    const double per_second = static_cast<double>(ConcurrencyOf(work_class)) /
                              ToSeconds(ServiceTimeOf(work_class).mean());
    return {reason, m_pacer.NextRetryAfter(per_second, wait)};
  }

  AdmissionDecision Refuse(WorkClass work_class,
                           RefusalReason reason,
                           Clock::Duration wait) {
    return {AdmissionDecision::Verdict::kRefused,
            MakeRefusal(work_class, reason, wait)};
  }

  void RefuseQueued(const RequestMetadata& request,
                    RefusalReason reason,
                    Clock::Duration wait) {
    m_refused.push_back(
        {request.ticket, MakeRefusal(request.work_class, reason, wait)});
  }

  void UpdateLoad() {
    const double used = static_cast<double>(m_running.size()) /
                        static_cast<double>(EffectiveLimit());
    m_credit.SetIdleShare(std::max(0.0, 1 - used));
    m_short_demand.Set(RunningOf(WorkClass::kShort) +
                       QueueOf(WorkClass::kShort).size());
  }

  const Clock& m_clock;
  const Parameters m_parameters;
  ConcurrencyLimit m_limit;
  ColdStartRamp m_ramp;
  BurstCredit m_credit;
  RetryAfterPacer m_pacer;
  std::array<RequestQueue, kWorkClassCount> m_queues;
  std::array<ServiceTimeEstimator, kWorkClassCount> m_service_times;
  std::array<std::size_t, kWorkClassCount> m_running_of{};
  std::unordered_map<RequestTicket, RunningRequest> m_running;
  DemandAverage m_short_demand;
  // Queued requests refused since the last Poll().
  std::vector<RefusedRequest> m_refused;
  Clock::TimePoint m_last_progress;
  Clock::TimePoint m_stall_ended;
  Clock::TimePoint m_last_sweep;
  bool m_stopped = false;
  std::uint64_t m_admitted_total = 0;
  std::uint64_t m_refused_total = 0;
  acc::accumulator_set<double, acc::stats<acc::tag::mean>> m_wait_times;
};

AdmissionController::AdmissionController(const Clock& clock,
                                         std::mt19937_64& random,
                                         const Parameters& parameters)
    : m_impl(std::make_unique<Impl>(clock, random, parameters)) {}

AdmissionController::~AdmissionController() = default;

AdmissionDecision AdmissionController::Offer(const RequestMetadata& request) {
  return m_impl->Offer(request);
}

void AdmissionController::OnFinished(RequestTicket ticket,
                                     TargetCallOutcome outcome,
                                     Clock::Duration latency) {
  m_impl->OnFinished(ticket, outcome, latency);
}

AdmissionChanges AdmissionController::Poll() {
  return m_impl->Poll();
}

AdmissionController::CancelResult AdmissionController::Cancel(
    RequestTicket ticket) {
  return m_impl->Cancel(ticket);
}

void AdmissionController::StopAdmitting() {
  m_impl->StopAdmitting();
}

AdmissionStatus AdmissionController::Status() const {
  return m_impl->Status();
}

}  // namespace citrongrade
