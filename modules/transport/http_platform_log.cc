#include "modules/transport/http_platform_log.h"

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "modules/coordination/log_errors.h"
#include "modules/transport/http_address.h"
#include "modules/transport/http_client_connection.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/http_log_record_codec.h"
#include "modules/transport/http_request.h"
#include "modules/transport/http_response.h"

namespace citrongrade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kFirstRefusal = 400;
constexpr int kFirstServerError = 500;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
// A page of records, with room for their escapes.
constexpr std::size_t kMaxResponseBytes = 64 << 20;

// The log's answers are another program's: one that isn't as agreed counts as
// no answer. Throws json::exception.
LogOffset OffsetField(const json& body, const char* name) {
  return LogOffset(body.at(name).get<std::uint64_t>());
}

// Other errors of the log's may come after the append took effect.
bool SaysNothingAppended(int status) {
  return status == kUnavailable ||
         (status >= kFirstRefusal && status < kFirstServerError);
}

}  // namespace

class HttpPlatformLog::Implementation {
 public:
  Implementation(const HttpAddress& address,
                 const std::string& stream,
                 std::shared_ptr<const HttpLogRecordCodec> codec,
                 milliseconds timeout)
      : m_address(address),
        m_path("/v1/streams/" + stream),
        m_codec(std::move(codec)),
        m_timeout(timeout) {}

  LogOffset Append(const RecordId& id, const Record& record);
  std::vector<LogEntry> Read(LogOffset from,
                             std::size_t max_entries,
                             milliseconds wait);
  LogOffset Bound(const char* name);

 private:
  HttpResponse Call(const HttpRequest& request, milliseconds wait);
  // For calls that change nothing: any failure means that nothing was read.
  json Get(const std::string& target, milliseconds wait);

  HttpAddress m_address;
  std::string m_path;
  std::shared_ptr<const HttpLogRecordCodec> m_codec;
  milliseconds m_timeout;
  std::optional<HttpClientConnection> m_connection;
};

LogOffset HttpPlatformLog::Implementation::Append(const RecordId& id,
                                                  const Record& record) {
  try {
    const HttpResponse response = Call({.method = "POST",
                                        .target = m_path + "/records",
                                        .headers = {},
                                        .body = m_codec->Encode(id, record)},
                                       milliseconds(0));
    if (SaysNothingAppended(response.head.status)) {
      throw LogUnavailableError("the log answered " +
                                std::to_string(response.head.status));
    }
    return OffsetField(json::parse(response.body), "offset");
  } catch (const ConnectError& error) {
    throw LogUnavailableError(error.what());
  } catch (const HttpError& error) {
    throw LogAnswerLostError(error.what());
  } catch (const json::exception& error) {
    throw LogAnswerLostError(error.what());
  }
}

std::vector<LogEntry> HttpPlatformLog::Implementation::Read(
    LogOffset from,
    std::size_t max_entries,
    milliseconds wait) {
  const json body =
      Get(m_path + "/records?from=" + std::to_string(from.value()) +
              "&max=" + std::to_string(max_entries) +
              "&wait_ms=" + std::to_string(wait.count()),
          wait);
  std::vector<LogEntry> entries;
  try {
    for (const json& record : body.at("records")) {
      entries.push_back(m_codec->Decode(OffsetField(record, "offset"),
                                        record.at("data").get<std::string>()));
    }
  } catch (const json::exception& error) {
    throw LogUnavailableError(error.what());
  }
  return entries;
}

LogOffset HttpPlatformLog::Implementation::Bound(const char* name) {
  const json body = Get(m_path, milliseconds(0));
  try {
    return OffsetField(body, name);
  } catch (const json::exception& error) {
    throw LogUnavailableError(error.what());
  }
}

json HttpPlatformLog::Implementation::Get(const std::string& target,
                                          milliseconds wait) {
  try {
    const HttpResponse response =
        Call({.method = "GET", .target = target}, wait);
    json body = json::parse(response.body);
    if (response.head.status == kGone) {
      throw LogRetentionPassedError("retention passed",
                                    OffsetField(body, "first"));
    }
    if (response.head.status != kOk) {
      throw LogUnavailableError("the log answered " +
                                std::to_string(response.head.status));
    }
    return body;
  } catch (const HttpError& error) {
    throw LogUnavailableError(error.what());
  } catch (const json::exception& error) {
    throw LogUnavailableError(error.what());
  }
}

HttpResponse HttpPlatformLog::Implementation::Call(const HttpRequest& request,
                                                   milliseconds wait) {
  // Moved out and put back only after a whole answer: a late answer to a call
  // that was given up must not be read as the answer to the next one.
  std::optional<HttpClientConnection> connection =
      std::exchange(m_connection, std::nullopt);
  if (!connection)
    connection.emplace(m_address);
  HttpResponse response =
      connection->Call(request, m_timeout + wait, kMaxResponseBytes);
  if (connection->is_reusable())
    m_connection = std::move(connection);
  return response;
}

HttpPlatformLog::HttpPlatformLog(
    const HttpAddress& address,
    const std::string& stream,
    std::shared_ptr<const HttpLogRecordCodec> codec,
    milliseconds timeout)
    : m_implementation(std::make_unique<Implementation>(address,
                                                        stream,
                                                        std::move(codec),
                                                        timeout)) {}

HttpPlatformLog::~HttpPlatformLog() = default;

LogOffset HttpPlatformLog::Append(const RecordId& id, const Record& record) {
  return m_implementation->Append(id, record);
}

std::vector<LogEntry> HttpPlatformLog::Read(LogOffset from,
                                            std::size_t max_entries,
                                            milliseconds wait) {
  return m_implementation->Read(from, max_entries, wait);
}

LogOffset HttpPlatformLog::FirstOffset() {
  return m_implementation->Bound("first");
}

LogOffset HttpPlatformLog::NextOffset() {
  return m_implementation->Bound("next");
}

}  // namespace citrongrade
