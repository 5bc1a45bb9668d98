#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace citrongrade {

// Hands items out when they are due, the earliest first. Its feeder waits while
// it is full; what comes back (a resend) always finds room, and there is never
// more of it than there are threads that take. Thread-safe.
template <typename Item>
class DueQueue {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit DueQueue(std::size_t capacity) : m_capacity(capacity) {}

  // Waits for room.
  void Push(TimePoint due, Item item) {
    std::unique_lock lock(m_mutex);
    m_has_room.wait(lock, [this] { return m_items.size() < m_capacity; });
    ++m_unfinished;
    Add(due, std::move(item));
  }

  // An item that was taken comes back.
  void PushAgain(TimePoint due, Item item) {
    const std::lock_guard lock(m_mutex);
    Add(due, std::move(item));
  }

  // An item that was taken does not come back.
  void Finish() {
    const std::lock_guard lock(m_mutex);
    --m_unfinished;
    if (IsOver())
      m_changed.notify_all();
  }

  // No more Push: Take returns nothing once all is finished.
  void Close() {
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
  }

  std::optional<Item> Take() {
    std::unique_lock lock(m_mutex);
    while (!IsOver()) {
      if (!m_items.empty() &&
          m_items.top().due <= std::chrono::steady_clock::now()) {
        return TakeFirst();
      }
      Wait(lock);
    }
    return std::nullopt;
  }

 private:
  struct Entry {
    TimePoint due;
    std::size_t number;
    Item item;

    friend bool operator>(const Entry& left, const Entry& right) {
      return std::pair(left.due, left.number) >
             std::pair(right.due, right.number);
    }
  };

  bool IsOver() const { return m_closed && m_unfinished == 0; }

  void Add(TimePoint due, Item item) {
    m_items.push({due, m_next_number++, std::move(item)});
    m_changed.notify_one();
    m_leader_changed.notify_one();
  }

  // One thread, the leader, waits for the first item's time; the others wait to
  // follow it. If all waited for the time, all would wake for each item.
  void Wait(std::unique_lock<std::mutex>& lock) {
    if (m_has_leader || m_items.empty()) {
      m_changed.wait(lock);
      return;
    }
    m_has_leader = true;
    const TimePoint due = m_items.top().due;
    m_leader_changed.wait_until(lock, due);
    m_has_leader = false;
    m_changed.notify_one();
  }

  Item TakeFirst() {
    // The top is const only to keep the order, which pop restores.
    Item item = std::move(const_cast<Entry&>(m_items.top()).item);
    m_items.pop();
    m_has_room.notify_one();
    m_changed.notify_one();
    return item;
  }

  const std::size_t m_capacity;
  std::mutex m_mutex;
  std::condition_variable m_has_room;
  std::condition_variable m_changed;
  std::condition_variable m_leader_changed;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> m_items;
  std::size_t m_next_number = 0;
  std::size_t m_unfinished = 0;
  bool m_closed = false;
  bool m_has_leader = false;
};

}  // namespace citrongrade
