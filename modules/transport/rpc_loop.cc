#include "modules/transport/rpc_loop.h"

#include <kj/async-io.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <exception>
#include <future>
#include <system_error>
#include <thread>
#include <utility>

#include "modules/transport/bounded_ring.h"
#include "modules/transport/task_error_log.h"
#include "modules/transport/thread_name.h"

namespace citrongrade {

namespace {

class ScopedEventFd {
 public:
  ScopedEventFd() : m_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (m_fd < 0)
      throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  ~ScopedEventFd() { close(m_fd); }
  ScopedEventFd(const ScopedEventFd&) = delete;
  ScopedEventFd& operator=(const ScopedEventFd&) = delete;

  void Notify() const {
    const std::uint64_t one = 1;
    // It fails only when the counter is full, and then the loop wakes anyway.
    [[maybe_unused]] const ssize_t written = write(m_fd, &one, sizeof(one));
  }

  int get() const { return m_fd; }

 private:
  int m_fd;
};

}  // namespace

class RpcLoop::Implementation {
 public:
  Implementation(const char* duty, std::size_t ring_capacity)
      : m_duty(duty), m_ring(ring_capacity), m_thread([this] { Main(); }) {
    m_started.get_future().get();
  }

  ~Implementation() {
    m_stop = true;
    m_wakeup.Notify();
    m_thread.join();
  }

  void Post(std::function<void()> task) {
    if (std::this_thread::get_id() == m_thread.get_id()) {
      // The loop can't wait for itself to make room.
      m_own_tasks->add(kj::evalLater([task = std::move(task)] { task(); }));
      return;
    }
    if (m_ring.Push(std::move(task)) && !m_wakeup_pending.exchange(true))
      m_wakeup.Notify();
  }

  bool TryPost(std::function<void()> task) {
    if (!m_ring.TryPush(std::move(task)))
      return false;
    if (!m_wakeup_pending.exchange(true))
      m_wakeup.Notify();
    return true;
  }

  kj::AsyncIoContext& io() { return *m_io; }

 private:
  void Main() {
    NameThread(m_duty);
    kj::AsyncIoContext io = kj::setupAsyncIo();
    m_io = &io;
    TaskErrorLog error_log;
    kj::TaskSet own_tasks(error_log);
    m_own_tasks = &own_tasks;
    auto wakeup = io.lowLevelProvider->wrapInputFd(
        m_wakeup.get(), kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                            kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
    m_started.set_value();
    while (!m_stop) {
      std::uint64_t count = 0;
      wakeup->read(&count, sizeof(count)).wait(io.waitScope);
      m_wakeup_pending = false;
      RunTasks();
    }
    m_ring.Close();
    RunTasks();
    m_own_tasks = nullptr;
  }

  void RunTasks() {
    while (auto task = m_ring.TryPop())
      (*task)();
  }

  const char* m_duty;
  BoundedRing<std::function<void()>> m_ring;
  ScopedEventFd m_wakeup;
  std::atomic<bool> m_wakeup_pending = false;
  std::atomic<bool> m_stop = false;
  kj::AsyncIoContext* m_io = nullptr;
  kj::TaskSet* m_own_tasks = nullptr;
  std::promise<void> m_started;
  std::thread m_thread;
};

RpcLoop::RpcLoop(const char* duty, std::size_t ring_capacity)
    : m_implementation(std::make_unique<Implementation>(duty, ring_capacity)) {}

RpcLoop::~RpcLoop() = default;

void RpcLoop::Post(std::function<void()> task) {
  m_implementation->Post(std::move(task));
}

bool RpcLoop::TryPost(std::function<void()> task) {
  return m_implementation->TryPost(std::move(task));
}

void RpcLoop::RunAndWait(const std::function<void()>& task) {
  std::promise<void> done;
  Post([&task, &done] {
    try {
      task();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

kj::AsyncIoContext& RpcLoop::io() {
  return m_implementation->io();
}

}  // namespace citrongrade
