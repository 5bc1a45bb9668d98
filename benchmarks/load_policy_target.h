#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "benchmarks/load_policy_event_loop.h"
#include "benchmarks/load_policy_request.h"

namespace citrongrade {

// A target's slots and the queue inside it: first come first served, without a
// bound, as servers are. Cold, slow or frozen on demand.
class LoadPolicyTarget {
 public:
  // Called at the end of each run, with the time since Run().
  using Finished = std::function<void(Clock::Duration latency)>;

  LoadPolicyTarget(LoadPolicyEventLoop& loop, std::size_t slots)
      : m_loop(loop), m_slots(slots) {}

  void SetSlowdown(double factor) { m_slowdown = factor; }

  // The next `runs` take `factor` times as long at first, less with each.
  void MakeCold(double factor, std::size_t runs) {
    m_cold_factor = factor;
    m_cold_runs = runs;
    m_cold_left = runs;
  }

  // Starts nothing and ends nothing until thawed.
  void Freeze() { m_frozen = true; }
  void Thaw() {
    m_frozen = false;
    for (const Callback& end : std::exchange(m_ends_held, {})) {
      end();
    }
    StartWaiting();
  }

  void Run(const LoadPolicyRequest& request, Finished finished) {
    m_waiting.push_back({request, m_loop.Now(), std::move(finished)});
    StartWaiting();
  }

  // Stops a run; false when it doesn't run here or the target is frozen. Its
  // Finished is not called. Counts as late: it ran, and nobody got an answer.
  bool Cancel(RequestTicket ticket) {
    if (m_frozen || m_running.erase(ticket) == 0) {
      return false;
    }
    --m_busy;
    ++m_ended;
    ++m_ended_late;
    StartWaiting();
    return true;
  }

  std::size_t busy() const { return m_busy; }
  std::size_t queued() const { return m_waiting.size(); }
  std::size_t slots() const { return m_slots; }
  bool HasIdleSlot() const { return !m_frozen && m_busy < m_slots; }

  // Time that slots were busy with runs that ended, as a healthy target counts.
  Clock::Duration work_done() const { return m_work_done; }
  // Runs that ended, and those among them that nobody waited for any more.
  std::uint64_t ended() const { return m_ended; }
  std::uint64_t ended_late() const { return m_ended_late; }

 private:
  using Callback = LoadPolicyEventLoop::Callback;

  struct Job {
    LoadPolicyRequest request;
    Clock::TimePoint given;
    Finished finished;
  };

  void StartWaiting() {
    while (HasIdleSlot() && !m_waiting.empty()) {
      Job job = std::move(m_waiting.front());
      m_waiting.pop_front();
      Start(std::move(job));
    }
  }

  void Start(Job job) {
    ++m_busy;
    const RequestTicket ticket = job.request.facts.ticket;
    const std::uint64_t run = ++m_runs;
    m_running[ticket] = run;
    const Clock::Duration takes = Slowed(job.request.work);
    m_loop.After(takes, [this, run, job = std::move(job)] { End(run, job); });
  }

  void End(std::uint64_t run, const Job& job) {
    if (m_frozen) {
      m_ends_held.push_back([this, run, job] { End(run, job); });
      return;
    }
    const auto found = m_running.find(job.request.facts.ticket);
    if (found == m_running.end() || found->second != run) {
      return;
    }
    m_running.erase(found);
    --m_busy;
    ++m_ended;
    m_work_done += job.request.work;
    if (m_loop.Now() > job.request.facts.deadline) {
      ++m_ended_late;
    }
    job.finished(m_loop.Now() - job.given);
    StartWaiting();
  }

  Clock::Duration Slowed(Clock::Duration work) {
    double factor = m_slowdown;
    if (m_cold_left > 0) {
      const double cold =
          static_cast<double>(m_cold_left) / static_cast<double>(m_cold_runs);
      factor *= 1 + (m_cold_factor - 1) * cold;
      --m_cold_left;
    }
    return std::chrono::duration_cast<Clock::Duration>(work * factor);
  }

  LoadPolicyEventLoop& m_loop;
  const std::size_t m_slots;
  double m_slowdown = 1;
  double m_cold_factor = 1;
  std::size_t m_cold_runs = 0;
  std::size_t m_cold_left = 0;
  bool m_frozen = false;
  std::size_t m_busy = 0;
  std::uint64_t m_runs = 0;
  std::deque<Job> m_waiting;
  std::unordered_map<RequestTicket, std::uint64_t> m_running;
  std::vector<Callback> m_ends_held;
  Clock::Duration m_work_done{0};
  std::uint64_t m_ended = 0;
  std::uint64_t m_ended_late = 0;
};

}  // namespace citrongrade
