#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/request_id_hash.h"

namespace citrongrade {

// A target that records what it runs. One that checks grants refuses an epoch
// lower than the highest it saw for the slot. Frozen, it takes work and runs it
// when it returns.
class FakeTarget {
 public:
  enum class Outcome : std::uint8_t { kRan, kRefused, kLost };
  using OnOutcome = std::function<void(Outcome)>;
  using OnRun = std::function<void(const RequestIdHash&, std::uint32_t)>;

  FakeTarget(bool checks_grants, OnRun on_run)
      : m_checks_grants(checks_grants), m_on_run(std::move(on_run)) {}

  void Run(SlotIndex slot,
           Epoch epoch,
           const RequestIdHash& id,
           std::uint32_t attempt,
           OnOutcome on_outcome) {
    Work work{slot, epoch, id, attempt, std::move(on_outcome)};
    if (m_frozen) {
      m_held.push_back(std::move(work));
    } else {
      RunNow(work);
    }
  }

  void Freeze() { m_frozen = true; }
  void Return() {
    m_frozen = false;
    for (const Work& work : std::exchange(m_held, {})) {
      RunNow(work);
    }
  }
  // Loses what it held; comes back at once, knowing nothing.
  void Crash() {
    m_frozen = false;
    m_highest.clear();
    for (const Work& work : std::exchange(m_held, {})) {
      work.on_outcome(Outcome::kLost);
    }
  }

 private:
  struct Work {
    SlotIndex slot;
    Epoch epoch;
    RequestIdHash id;
    std::uint32_t attempt = 0;
    OnOutcome on_outcome;
  };

  void RunNow(const Work& work) {
    Epoch& highest = m_highest[work.slot];
    if (m_checks_grants && work.epoch < highest) {
      work.on_outcome(Outcome::kRefused);
      return;
    }
    highest = std::max(highest, work.epoch);
    m_on_run(work.id, work.attempt);
    work.on_outcome(Outcome::kRan);
  }

  const bool m_checks_grants;
  const OnRun m_on_run;
  bool m_frozen = false;
  std::map<SlotIndex, Epoch> m_highest;
  std::vector<Work> m_held;
};

}  // namespace citrongrade
