#pragma once

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

  // Ends all waits, so that the server can stop.
  void Close();

 private:
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
  LogFaults m_faults;
  AppendRateLimit m_rate_limit;
  std::map<std::string, std::unique_ptr<LogStream>, std::less<>> m_streams;
};

}  // namespace citrongrade
