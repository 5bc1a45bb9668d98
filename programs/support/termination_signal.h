#pragma once

#include <csignal>
#include <ctime>

#include <chrono>

namespace citrongrade {

// SIGTERM and SIGINT as something to wait for. Made by main before any thread
// starts: threads inherit the blocked signals, so that none of them is killed
// in the middle of its work.
class TerminationSignal {
 public:
  TerminationSignal() {
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
  }

  // Returns true once a signal came, false after `timeout` without one.
  bool WaitFor(std::chrono::milliseconds timeout) const {
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(timeout);
    timespec limit = {};
    limit.tv_sec = seconds.count();
    limit.tv_nsec = std::chrono::nanoseconds(timeout - seconds).count();
    return sigtimedwait(&m_signals, nullptr, &limit) > 0;
  }

  void Wait() const {
    while (!WaitFor(std::chrono::minutes(1))) {
    }
  }

 private:
  sigset_t m_signals = {};
};

}  // namespace citrongrade
