#pragma once

#include <functional>
#include <string>
#include <utility>

#include "modules/coordination/clock.h"

namespace citrongrade {

// What a handler knows of a request beside its content, and how it learns that
// the caller has disconnected. There is one for each request, on the event
// loop.
class RequestContext {
 public:
  RequestContext(Clock::TimePoint arrived, std::string caller_ip)
      : m_arrived(arrived), m_caller_ip(std::move(caller_ip)) {}
  RequestContext(const RequestContext&) = delete;
  RequestContext& operator=(const RequestContext&) = delete;

  // When the request's header had been read.
  Clock::TimePoint arrived() const { return m_arrived; }
  const std::string& caller_ip() const { return m_caller_ip; }
  bool is_caller_gone() const { return m_is_caller_gone; }
  // Also checks the socket. If a request was delayed in transit, the caller's
  // close may arrive together with it, before the event loop has reported it.
  bool ProbeCallerGone() const {
    return m_is_caller_gone || (m_probe && m_probe());
  }
  void SetProbe(std::function<bool()> probe) { m_probe = std::move(probe); }

  // `callback` is called once if the caller disconnects, and makes whatever the
  // request waits for fail. Replaces the previous callback.
  void SetCancelCallback(std::function<void()> callback) {
    m_cancel = std::move(callback);
  }
  void ClearCancelCallback() { m_cancel = nullptr; }

  void OnCallerGone() {
    m_is_caller_gone = true;
    if (auto callback = std::exchange(m_cancel, nullptr))
      callback();
  }

 private:
  const Clock::TimePoint m_arrived;
  const std::string m_caller_ip;
  bool m_is_caller_gone = false;
  std::function<void()> m_cancel;
  std::function<bool()> m_probe;
};

}  // namespace citrongrade
