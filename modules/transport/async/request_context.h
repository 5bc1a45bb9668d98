#pragma once

#include <functional>
#include <string>
#include <utility>

#include "modules/coordination/clock.h"

namespace citrongrade {

// What a request's server knows of it beside its content, and how it learns
// that its caller is gone. One for each request, on the event loop.
class RequestContext {
 public:
  RequestContext(Clock::TimePoint arrived, std::string caller_ip)
      : m_arrived(arrived), m_caller_ip(std::move(caller_ip)) {}
  RequestContext(const RequestContext&) = delete;
  RequestContext& operator=(const RequestContext&) = delete;

  // When its head was read.
  Clock::TimePoint arrived() const { return m_arrived; }
  const std::string& caller_ip() const { return m_caller_ip; }
  bool is_caller_gone() const { return m_is_caller_gone; }
  // Looks at the connection itself. The close of a caller whose request was
  // held up on its way comes together with the request, before the event loop
  // has told of it.
  bool ProbeCallerGone() const {
    return m_is_caller_gone || (m_probe && m_probe());
  }
  void SetProbe(std::function<bool()> probe) { m_probe = std::move(probe); }

  // `stop` is called, once, when the caller goes: it makes whatever the request
  // waits for fail. Replaces the one before.
  void SetCancelCallback(std::function<void()> stop) {
    m_cancel = std::move(stop);
  }
  void ClearCancelCallback() { m_cancel = nullptr; }

  void OnCallerGone() {
    m_is_caller_gone = true;
    if (auto stop = std::exchange(m_cancel, nullptr))
      stop();
  }

 private:
  const Clock::TimePoint m_arrived;
  const std::string m_caller_ip;
  bool m_is_caller_gone = false;
  std::function<void()> m_cancel;
  std::function<bool()> m_probe;
};

}  // namespace citrongrade
