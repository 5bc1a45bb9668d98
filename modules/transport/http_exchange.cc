#include "modules/transport/http_exchange.h"

#include <civetweb.h>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "modules/transport/http_exchange_implementation.h"
#include "modules/transport/http_message_head.h"

namespace citrongrade {

namespace {

// A body up to this size goes out in one write with its head.
constexpr std::size_t kMaxJoinedBodyBytes = 16384;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string OrEmpty(const char* text) {
  return text == nullptr ? std::string() : std::string(text);
}

std::vector<HttpHeader> CopyHeaders(const mg_request_info& info) {
  std::vector<HttpHeader> headers;
  headers.reserve(static_cast<std::size_t>(info.num_headers));
  for (int i = 0; i < info.num_headers; ++i) {
    headers.push_back({OrEmpty(info.http_headers[i].name),
                       OrEmpty(info.http_headers[i].value)});
  }
  return headers;
}

bool HeaderIs(std::span<const HttpHeader> headers,
              std::string_view name,
              std::string_view value) {
  const auto found = FindHeader(headers, name);
  return found && SameHeaderName(*found, value);
}

HttpBodyLength BodyLengthOf(const mg_request_info& info,
                            std::span<const HttpHeader> headers) {
  if (HeaderIs(headers, "Transfer-Encoding", "chunked"))
    return HttpBodyLength::Chunked();
  if (info.content_length <= 0)
    return HttpBodyLength::None();
  return HttpBodyLength::Exactly(
      static_cast<std::uint64_t>(info.content_length));
}

bool ClientKeepsAlive(const mg_request_info& info,
                      std::span<const HttpHeader> headers) {
  if (OrEmpty(info.http_version) == "1.1")
    return !HeaderIs(headers, "Connection", "close");
  return HeaderIs(headers, "Connection", "keep-alive");
}

}  // namespace

HttpExchange::Implementation::Implementation(mg_connection* connection_in,
                                             bool keep_alive)
    : connection(connection_in),
      method(OrEmpty(mg_get_request_info(connection)->request_method)),
      path(OrEmpty(mg_get_request_info(connection)->local_uri_raw)),
      query(OrEmpty(mg_get_request_info(connection)->query_string)),
      headers(CopyHeaders(*mg_get_request_info(connection))),
      body_length(BodyLengthOf(*mg_get_request_info(connection), headers)),
      reader(connection, body_length),
      writer(connection),
      client_keeps_alive(
          keep_alive &&
          ClientKeepsAlive(*mg_get_request_info(connection), headers)),
      expects_continue(HeaderIs(headers, "Expect", "100-continue")) {}

bool HttpExchange::Implementation::ClosesAfterwards() const {
  return close_requested || !client_keeps_alive;
}

void HttpExchange::Implementation::SendContinueIfExpected() {
  if (!expects_continue || writer.head_written())
    return;
  expects_continue = false;
  mg_write(connection, kContinue.data(), kContinue.size());
}

void HttpExchange::Implementation::SendHead(int status,
                                            std::span<const HttpHeader> extra,
                                            HttpBodyLength length,
                                            std::string_view body_start) {
  // A client that still waits for leave to send its body will never send it.
  if (expects_continue)
    close_requested = true;
  HttpMessageHead head;
  head.first_line = "HTTP/1.1 " + std::to_string(status) + " " +
                    mg_get_response_code_text(connection, status);
  head.headers.assign(extra.begin(), extra.end());
  if (ClosesAfterwards())
    head.headers.push_back({"Connection", "close"});
  head.body_length = length;
  head.omits_length = status == kNoContent || status == kNotModified;
  head.discards_body = method == "HEAD";
  writer.WriteHead(head, body_start);
}

HttpExchange::HttpExchange(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation)) {}

HttpExchange::~HttpExchange() = default;

const std::string& HttpExchange::method() const {
  return m_implementation->method;
}

const std::string& HttpExchange::path() const {
  return m_implementation->path;
}

const std::string& HttpExchange::query() const {
  return m_implementation->query;
}

const std::vector<HttpHeader>& HttpExchange::headers() const {
  return m_implementation->headers;
}

std::optional<std::string_view> HttpExchange::Header(
    std::string_view name) const {
  return FindHeader(m_implementation->headers, name);
}

std::optional<std::string> HttpExchange::QueryField(
    std::string_view name) const {
  const std::string& query = m_implementation->query;
  // A decoded value is never longer than the query.
  std::vector<char> value(query.size() + 1);
  const int length =
      mg_get_var(query.data(), query.size(), std::string(name).c_str(),
                 value.data(), value.size());
  if (length < 0)
    return std::nullopt;
  return std::string(value.data(), static_cast<std::size_t>(length));
}

HttpBodyLength HttpExchange::body_length() const {
  return m_implementation->body_length;
}

std::string HttpExchange::remote_address() const {
  const mg_request_info* info =
      mg_get_request_info(m_implementation->connection);
  return std::string(info->remote_addr) + ":" +
         std::to_string(info->remote_port);
}

std::size_t HttpExchange::ReadBody(std::span<char> buffer) {
  m_implementation->SendContinueIfExpected();
  return m_implementation->reader.Read(buffer);
}

std::string HttpExchange::ReadWholeBody(std::size_t max_bytes) {
  m_implementation->SendContinueIfExpected();
  return m_implementation->reader.ReadWhole(max_bytes);
}

void HttpExchange::SendHead(int status,
                            std::span<const HttpHeader> headers,
                            HttpBodyLength body_length) {
  m_implementation->SendHead(status, headers, body_length, {});
}

void HttpExchange::SendBody(std::string_view bytes) {
  m_implementation->writer.WriteBody(bytes);
}

void HttpExchange::EndBody() {
  m_implementation->writer.EndBody();
}

void HttpExchange::Send(int status,
                        std::span<const HttpHeader> headers,
                        std::string_view body) {
  const bool joined = body.size() <= kMaxJoinedBodyBytes;
  m_implementation->SendHead(status, headers,
                             HttpBodyLength::Exactly(body.size()),
                             joined ? body : std::string_view());
  if (!joined)
    SendBody(body);
}

bool HttpExchange::head_sent() const {
  return m_implementation->writer.head_written();
}

void HttpExchange::CloseConnection() {
  m_implementation->close_requested = true;
}

void HttpExchange::Finish() {
  Implementation& self = *m_implementation;
  // A next answer on this connection would be taken for the rest of this one.
  if (!self.writer.is_complete() || self.ClosesAfterwards())
    mg_disable_connection_keep_alive(self.connection);
}

}  // namespace citrongrade
