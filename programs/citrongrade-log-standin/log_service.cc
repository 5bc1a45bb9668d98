#include "programs/citrongrade-log-standin/log_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "modules/coordination/log_errors.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/http_exchange.h"
#include "programs/citrongrade-log-standin/log_stream.h"

namespace citrongrade {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxRecordBytes = 1 << 20;
constexpr std::size_t kMaxFaultsBytes = 4096;
constexpr std::uint64_t kDefaultMaxRecords = 1000;
constexpr std::uint64_t kMaxWaitMs = 30000;
// A client that doesn't read its answer must not delay the stop for longer.
constexpr std::chrono::seconds kMaxAnswerTime{5};
constexpr std::string_view kStreamsPrefix = "/v1/streams/";
constexpr std::string_view kRecordsSuffix = "/records";

void SendJson(HttpExchange& exchange, int status, const json& body) {
  const HttpHeader type{"Content-Type", "application/json"};
  exchange.Send(status, {&type, 1}, body.dump());
}

void SendError(HttpExchange& exchange, int status, std::string_view error) {
  SendJson(exchange, status, {{"error", error}});
}

std::uint64_t NumberField(const HttpExchange& exchange,
                          std::string_view name,
                          std::uint64_t fallback) {
  const std::optional<std::string> text = exchange.QueryField(name);
  std::uint64_t number = fallback;
  if (text)
    std::from_chars(text->data(), text->data() + text->size(), number);
  return number;
}

// Records travel back inside JSON, which holds no other text than UTF-8.
bool IsUtf8(const std::string& text) {
  try {
    return !json(text).dump().empty();
  } catch (const json::type_error&) {
    return false;
  }
}

json ToJson(const LogFaults& faults) {
  return {{"outage", faults.outage},
          {"delay_ms", faults.delay.count()},
          {"lose_answers", faults.lose_answers},
          {"max_appends_per_second", faults.max_appends_per_second},
          {"retention_records", faults.retention_records}};
}

// `faults` with the fields that `change` names. Throws json::exception.
LogFaults Changed(LogFaults faults, const json& change) {
  faults.outage = change.value("outage", faults.outage);
  faults.delay =
      std::chrono::milliseconds(change.value("delay_ms", faults.delay.count()));
  faults.lose_answers = change.value("lose_answers", faults.lose_answers);
  faults.max_appends_per_second =
      change.value("max_appends_per_second", faults.max_appends_per_second);
  faults.retention_records =
      change.value("retention_records", faults.retention_records);
  return faults;
}

bool NamesOnlyFaults(const json& change) {
  if (!change.is_object())
    return false;
  const json known = ToJson(LogFaults());
  return std::all_of(
      change.items().begin(), change.items().end(),
      [&](const auto& item) { return known.contains(item.key()); });
}

json ToJson(const LogPage& page) {
  json records = json::array();
  LogOffset offset = page.from;
  for (const std::string& record : page.records) {
    records.push_back({{"offset", offset.value()}, {"data", record}});
    offset = offset.Next();
  }
  return {{"first", page.bounds.first.value()},
          {"next", page.bounds.next.value()},
          {"records", std::move(records)}};
}

}  // namespace

LogService::LogService(const Clock& clock, const LogFaults& faults)
    : m_faults(faults), m_rate_limit(clock) {}

LogService::~LogService() = default;

// A call that Close() waits for, from its begin until it is answered.
class LogService::RunningCall {
 public:
  explicit RunningCall(LogService& service) : m_service(service) {
    const std::lock_guard lock(m_service.m_mutex);
    m_is_counted = !m_service.m_is_closed;
    if (m_is_counted)
      ++m_service.m_running_calls;
  }
  ~RunningCall() {
    const std::lock_guard lock(m_service.m_mutex);
    if (m_is_counted && --m_service.m_running_calls == 0)
      m_service.m_calls_ended.notify_all();
  }
  RunningCall(const RunningCall&) = delete;
  RunningCall& operator=(const RunningCall&) = delete;

 private:
  LogService& m_service;
  bool m_is_counted = false;
};

void LogService::Handle(HttpExchange& exchange) {
  const RunningCall call(*this);
  if (exchange.path().starts_with(kStreamsPrefix))
    HandleStreamCall(exchange);
  else if (exchange.path() == "/v1/faults")
    HandleFaults(exchange);
  else
    SendError(exchange, 404, "unknown-path");
}

void LogService::Close() {
  std::unique_lock lock(m_mutex);
  m_is_closed = true;
  for (const auto& [name, stream] : m_streams)
    stream->Close();
  m_calls_ended.wait_for(lock, kMaxAnswerTime,
                         [this] { return m_running_calls == 0; });
}

void LogService::HandleStreamCall(HttpExchange& exchange) {
  std::this_thread::sleep_for(faults().delay);
  if (faults().outage) {
    SendError(exchange, 503, "outage");
    return;
  }
  std::string_view name = exchange.path();
  name.remove_prefix(kStreamsPrefix.size());
  const bool on_records = name.ends_with(kRecordsSuffix);
  if (on_records)
    name.remove_suffix(kRecordsSuffix.size());
  if (name.empty() || name.find('/') != std::string_view::npos) {
    SendError(exchange, 404, "unknown-path");
    return;
  }
  LogStream& stream = StreamOf(std::string(name));
  if (on_records && exchange.method() == "POST") {
    Append(exchange, stream);
  } else if (on_records && exchange.method() == "GET") {
    Read(exchange, stream);
  } else if (!on_records && exchange.method() == "GET") {
    const LogBounds bounds = stream.bounds();
    SendJson(exchange, 200,
             {{"first", bounds.first.value()}, {"next", bounds.next.value()}});
  } else {
    SendError(exchange, 405, "unknown-method");
  }
}

void LogService::Append(HttpExchange& exchange, LogStream& stream) {
  std::string record;
  try {
    record = exchange.ReadWholeBody(kMaxRecordBytes);
  } catch (const BodyTooLargeError&) {
    SendError(exchange, 413, "record-too-large");
    return;
  }
  if (!IsUtf8(record)) {
    SendError(exchange, 400, "record-not-utf-8");
    return;
  }
  if (!AdmitAppend()) {
    SendError(exchange, 503, "too-many-appends");
    return;
  }
  const LogOffset offset =
      stream.Append(std::move(record), faults().retention_records);
  if (TakeLostAnswer()) {
    spdlog::info("event=answer-lost path=\"{}\" offset={}", exchange.path(),
                 offset.value());
    exchange.CloseConnection();
    return;
  }
  SendJson(exchange, 201, {{"offset", offset.value()}});
}

void LogService::Read(HttpExchange& exchange, LogStream& stream) {
  const LogOffset from(NumberField(exchange, "from", 1));
  const std::uint64_t max = NumberField(exchange, "max", kDefaultMaxRecords);
  const std::uint64_t wait =
      std::min(NumberField(exchange, "wait_ms", 0), kMaxWaitMs);
  try {
    const LogPage page =
        stream.Read(from, max, std::chrono::milliseconds(wait));
    // An outage that began during the wait holds for its answer too.
    if (faults().outage)
      SendError(exchange, 503, "outage");
    else
      SendJson(exchange, 200, ToJson(page));
  } catch (const LogRetentionPassedError& error) {
    SendJson(
        exchange, 410,
        {{"error", "retention-passed"}, {"first", error.first_kept().value()}});
  }
}

void LogService::HandleFaults(HttpExchange& exchange) {
  if (exchange.method() == "POST") {
    try {
      const json change = json::parse(exchange.ReadWholeBody(kMaxFaultsBytes));
      if (!NamesOnlyFaults(change)) {
        SendError(exchange, 400, "unknown-fault");
        return;
      }
      SetFaults(Changed(faults(), change));
    } catch (const json::exception& error) {
      SendError(exchange, 400, error.what());
      return;
    }
  }
  SendJson(exchange, 200, ToJson(faults()));
}

LogStream& LogService::StreamOf(const std::string& name) {
  const std::lock_guard lock(m_mutex);
  std::unique_ptr<LogStream>& stream = m_streams[name];
  if (!stream) {
    stream = std::make_unique<LogStream>();
    if (m_is_closed)
      stream->Close();
  }
  return *stream;
}

LogFaults LogService::faults() const {
  const std::lock_guard lock(m_mutex);
  return m_faults;
}

void LogService::SetFaults(const LogFaults& faults) {
  const std::lock_guard lock(m_mutex);
  m_faults = faults;
  for (const auto& [name, stream] : m_streams)
    stream->Trim(faults.retention_records);
  spdlog::info("event=faults-set faults='{}'", ToJson(faults).dump());
}

bool LogService::AdmitAppend() {
  const std::lock_guard lock(m_mutex);
  return m_rate_limit.Admit(m_faults.max_appends_per_second);
}

bool LogService::TakeLostAnswer() {
  const std::lock_guard lock(m_mutex);
  if (m_faults.lose_answers == 0)
    return false;
  --m_faults.lose_answers;
  return true;
}

}  // namespace citrongrade
