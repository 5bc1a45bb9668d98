#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace citrongrade {

// A ring of fixed size that hands work from any number of threads to others,
// in order. All threads of a node are joined by these: a duty that falls behind
// holds up, or refuses, those who feed it, instead of growing without bound.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : m_items(capacity) {}
  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  // Waits for room. False once closed.
  bool Push(T item) {
    {
      std::unique_lock lock(m_mutex);
      m_has_room.wait(lock,
                      [this] { return m_closed || m_count < m_items.size(); });
      if (m_closed)
        return false;
      Append(std::move(item));
    }
    m_has_items.notify_one();
    return true;
  }

  // False when full or closed.
  bool TryPush(T item) {
    {
      const std::lock_guard lock(m_mutex);
      if (m_closed || m_count == m_items.size())
        return false;
      Append(std::move(item));
    }
    m_has_items.notify_one();
    return true;
  }

  // Waits for an item. Nothing once closed and empty.
  std::optional<T> Pop() {
    std::unique_lock lock(m_mutex);
    m_has_items.wait(lock, [this] { return m_closed || m_count > 0; });
    return Take(lock);
  }

  // As Pop, but nothing also after `timeout`.
  std::optional<T> PopWithin(std::chrono::milliseconds timeout) {
    std::unique_lock lock(m_mutex);
    m_has_items.wait_for(lock, timeout,
                         [this] { return m_closed || m_count > 0; });
    return Take(lock);
  }

  // Nothing when there is none.
  std::optional<T> TryPop() {
    std::unique_lock lock(m_mutex);
    return Take(lock);
  }

  // Wakes all that wait. What is inside can still be popped.
  void Close() {
    {
      const std::lock_guard lock(m_mutex);
      m_closed = true;
    }
    m_has_items.notify_all();
    m_has_room.notify_all();
  }

  bool is_closed() const {
    const std::lock_guard lock(m_mutex);
    return m_closed;
  }

  std::size_t size() const {
    const std::lock_guard lock(m_mutex);
    return m_count;
  }

 private:
  void Append(T item) {
    m_items[(m_first + m_count) % m_items.size()] = std::move(item);
    ++m_count;
  }

  std::optional<T> Take(std::unique_lock<std::mutex>& lock) {
    if (m_count == 0)
      return std::nullopt;
    std::optional<T> item(std::exchange(m_items[m_first], T()));
    m_first = (m_first + 1) % m_items.size();
    --m_count;
    lock.unlock();
    m_has_room.notify_one();
    return item;
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_has_items;
  std::condition_variable m_has_room;
  std::vector<T> m_items;
  std::size_t m_first = 0;
  std::size_t m_count = 0;
  bool m_closed = false;
};

}  // namespace citrongrade
