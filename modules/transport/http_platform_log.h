#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "modules/coordination/platform_log.h"

namespace citrongrade {

struct HttpAddress;
class HttpLogRecordCodec;

// One stream of the platform's log over HTTP (docs/PROTOCOLS.md), on one kept
// connection that is replaced after any failure. For one thread; a node that
// appends while it waits for records has two. Kin: FakePlatformLog.
class HttpPlatformLog final : public PlatformLog {
 public:
  // `timeout`: longest wait for an answer, on top of a read's own wait.
  HttpPlatformLog(const HttpAddress& address,
                  const std::string& stream,
                  std::shared_ptr<const HttpLogRecordCodec> codec,
                  std::chrono::milliseconds timeout);
  ~HttpPlatformLog() override;

  LogOffset Append(const RecordId& id, const Record& record) override;
  std::vector<LogEntry> Read(LogOffset from,
                             std::size_t max_entries,
                             std::chrono::milliseconds wait) override;
  LogOffset FirstOffset() override;
  LogOffset NextOffset() override;

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
