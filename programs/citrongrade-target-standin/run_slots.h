#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

#include "modules/coordination/clock.h"
#include "programs/citrongrade-target-standin/lagging_value.h"
#include "programs/citrongrade-target-standin/load_figures.h"
#include "programs/citrongrade-target-standin/slot_outcome.h"

namespace citrongrade {

class Cancellation;

// The target's slots: so many requests run at once, a few wait, more are shed.
// Thread-safe.
class RunSlots {
 public:
  RunSlots(const Clock& clock, unsigned slots, unsigned queue_length)
      : m_slots(slots),
        m_queue_length(queue_length),
        m_history(clock, LoadFigures()) {}

  // Waits for a slot until `deadline`. Leave must follow kEntered.
  SlotOutcome Enter(Clock::TimePoint deadline,
                    const Cancellation& cancellation);
  void Leave();

  // Lets those that wait look at their cancellation.
  void Wake();

  LoadFigures Load(Clock::Duration lag) const { return m_history.Get(lag); }

 private:
  SlotOutcome Wait(std::unique_lock<std::mutex>& lock,
                   Clock::TimePoint deadline,
                   const Cancellation& cancellation);

  const unsigned m_slots;
  const unsigned m_queue_length;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  LoadFigures m_load;
  LaggingValue<LoadFigures> m_history;
};

}  // namespace citrongrade
