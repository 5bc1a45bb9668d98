#pragma once

#include <condition_variable>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "modules/transport/http_handler.h"
#include "programs/citrongrade-log-standin/append_rate_limit.h"
#include "programs/citrongrade-log-standin/log_faults.h"

namespace citrongrade {

class Clock;
class LogStream;

// The platform's log over HTTP, as docs/PROTOCOLS.md describes it, with faults.
// A stream exists from its first use. A stand-in: nothing outlives the process.
class LogService final : public HttpHandler {
 public:
  LogService(const Clock& clock, const LogFaults& faults);
  ~LogService() override;

  void Handle(HttpExchange& exchange) override;

  // Ends all waits, and returns when the calls that had begun are answered: the
  // server drops what is written after its stop began. Calls that begin later
  // don't wait for records.
  void Close();

 private:
  class RunningCall;

  void HandleStreamCall(HttpExchange& exchange);
  void HandleFaults(HttpExchange& exchange);
  void Append(HttpExchange& exchange, LogStream& stream);
  void Read(HttpExchange& exchange, LogStream& stream);
  LogStream& StreamOf(const std::string& name);
  LogFaults faults() const;
  void SetFaults(const LogFaults& faults);
  bool AdmitAppend();
  bool TakeLostAnswer();

  mutable std::mutex m_mutex;
  bool m_is_closed = false;
  // Calls that began before Close().
  std::size_t m_running_calls = 0;
  std::condition_variable m_calls_ended;
  LogFaults m_faults;
  AppendRateLimit m_rate_limit;
  std::map<std::string, std::unique_ptr<LogStream>, std::less<>> m_streams;
};

}  // namespace citrongrade
