#include "modules/transport/http_client_connection.h"

#include <civetweb.h>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "modules/transport/http_address.h"
#include "modules/transport/http_body_reader.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/http_library.h"
#include "modules/transport/http_message_head.h"
#include "modules/transport/http_message_writer.h"
#include "modules/transport/http_socket_options.h"

namespace citrongrade {

namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// A body up to this size goes out in one write with its head.
constexpr std::size_t kMaxJoinedBodyBytes = 16384;

using ErrorText = std::array<char, 256>;

struct ConnectionCloser {
  void operator()(mg_connection* connection) const {
    mg_close_connection(connection);
  }
};

using OwnedConnection = std::unique_ptr<mg_connection, ConnectionCloser>;

OwnedConnection Connect(const HttpAddress& address) {
  InitializeHttpLibrary();
  ErrorText error = {};
  OwnedConnection connection(mg_connect_client(address.ip.c_str(), address.port,
                                               0, error.data(), error.size()));
  if (!connection)
    throw ConnectError(address.ToString() + ": " + error.data());
  DisableNagleTowards(address);
  return connection;
}

std::vector<HttpHeader> CopyHeaders(const mg_response_info& info) {
  std::vector<HttpHeader> headers;
  headers.reserve(static_cast<std::size_t>(info.num_headers));
  for (int i = 0; i < info.num_headers; ++i)
    headers.push_back({info.http_headers[i].name, info.http_headers[i].value});
  return headers;
}

bool HasNoBody(std::string_view method, int status) {
  return method == "HEAD" || status < kFirstFinalStatus ||
         status == kNoContent || status == kNotModified;
}

HttpBodyLength BodyLengthOf(std::string_view method,
                            const mg_response_info& info,
                            std::span<const HttpHeader> headers) {
  if (HasNoBody(method, info.status_code))
    return HttpBodyLength::None();
  const auto encoding = FindHeader(headers, "Transfer-Encoding");
  if (encoding && SameHeaderName(*encoding, "chunked"))
    return HttpBodyLength::Chunked();
  // A body that ends with the connection can't be told from one cut short.
  if (!FindHeader(headers, "Content-Length") || info.content_length < 0)
    throw MalformedResponseError("the response does not say where it ends");
  return HttpBodyLength::Exactly(
      static_cast<std::uint64_t>(info.content_length));
}

bool ServerCloses(const mg_response_info& info,
                  std::span<const HttpHeader> headers) {
  const auto connection = FindHeader(headers, "Connection");
  if (connection && SameHeaderName(*connection, "close"))
    return true;
  return std::string_view(info.http_version) != "1.1" && !connection;
}

}  // namespace

class HttpClientConnection::Implementation {
 public:
  explicit Implementation(const HttpAddress& address)
      : m_host(address.ToString()), m_connection(Connect(address)) {}

  void SendHead(std::string_view method,
                std::string_view target,
                std::span<const HttpHeader> headers,
                HttpBodyLength body_length,
                std::string_view body_start);
  HttpMessageWriter& writer();
  HttpBodyReader& reader();
  HttpResponseHead ReadHead(std::chrono::milliseconds timeout);
  bool is_reusable() const;

 private:
  void WaitForHead(std::chrono::milliseconds timeout);

  std::string m_host;
  OwnedConnection m_connection;
  std::string m_method;
  std::optional<HttpMessageWriter> m_writer;
  std::optional<HttpBodyReader> m_reader;
  bool m_server_closes = false;
};

void HttpClientConnection::Implementation::SendHead(
    std::string_view method,
    std::string_view target,
    std::span<const HttpHeader> headers,
    HttpBodyLength body_length,
    std::string_view body_start) {
  if (!is_reusable())
    throw std::logic_error("a request before the last answer was read");
  m_method = method;
  m_reader.reset();
  m_writer.emplace(m_connection.get());
  HttpMessageHead head;
  head.first_line =
      std::string(method).append(" ").append(target).append(" HTTP/1.1");
  head.headers.reserve(headers.size() + 1);
  head.headers.push_back({"Host", m_host});
  head.headers.insert(head.headers.end(), headers.begin(), headers.end());
  head.body_length = body_length;
  head.omits_length = body_length == HttpBodyLength::None() &&
                      (method == "GET" || method == "HEAD");
  m_writer->WriteHead(head, body_start);
}

HttpMessageWriter& HttpClientConnection::Implementation::writer() {
  if (!m_writer)
    throw std::logic_error("a body before its head");
  return *m_writer;
}

HttpBodyReader& HttpClientConnection::Implementation::reader() {
  if (!m_reader)
    throw std::logic_error("a body before its head");
  return *m_reader;
}

HttpResponseHead HttpClientConnection::Implementation::ReadHead(
    std::chrono::milliseconds timeout) {
  WaitForHead(timeout);
  const mg_response_info* info = mg_get_response_info(m_connection.get());
  if (info == nullptr)
    throw MalformedResponseError("not a response");
  if (info->status_code < kFirstFinalStatus || info->status_code > kLastStatus)
    throw MalformedResponseError("status " + std::to_string(info->status_code));
  HttpResponseHead head;
  head.status = info->status_code;
  head.headers = CopyHeaders(*info);
  head.body_length = BodyLengthOf(m_method, *info, head.headers);
  m_server_closes = ServerCloses(*info, head.headers);
  m_reader.emplace(m_connection.get(), head.body_length);
  return head;
}

bool HttpClientConnection::Implementation::is_reusable() const {
  if (!m_writer)
    return true;
  return m_writer->is_complete() && m_reader && m_reader->is_complete() &&
         !m_server_closes;
}

void HttpClientConnection::Implementation::WaitForHead(
    std::chrono::milliseconds timeout) {
  ErrorText error = {};
  const auto started = std::chrono::steady_clock::now();
  const int result =
      mg_get_response(m_connection.get(), error.data(), error.size(),
                      static_cast<int>(timeout.count()));
  if (result >= 0)
    return;
  // The library has one result for all failures; its text tells silence from
  // nonsense, the time tells a close from a time-out.
  const std::string text = m_host + ": " + error.data();
  if (std::chrono::steady_clock::now() - started >= timeout)
    throw ResponseTimeoutError(text);
  if (text.find("No data received") != std::string::npos)
    throw ConnectionClosedError(text);
  throw MalformedResponseError(text);
}

HttpClientConnection::HttpClientConnection(const HttpAddress& address)
    : m_implementation(std::make_unique<Implementation>(address)) {}

HttpClientConnection::~HttpClientConnection() = default;
HttpClientConnection::HttpClientConnection(HttpClientConnection&&) noexcept =
    default;
HttpClientConnection& HttpClientConnection::operator=(
    HttpClientConnection&&) noexcept = default;

void HttpClientConnection::SendHead(std::string_view method,
                                    std::string_view target,
                                    std::span<const HttpHeader> headers,
                                    HttpBodyLength body_length) {
  m_implementation->SendHead(method, target, headers, body_length, {});
}

void HttpClientConnection::SendBody(std::string_view bytes) {
  m_implementation->writer().WriteBody(bytes);
}

void HttpClientConnection::EndBody() {
  m_implementation->writer().EndBody();
}

HttpResponseHead HttpClientConnection::ReadHead(
    std::chrono::milliseconds timeout) {
  return m_implementation->ReadHead(timeout);
}

std::size_t HttpClientConnection::ReadBody(std::span<char> buffer) {
  return m_implementation->reader().Read(buffer);
}

std::string HttpClientConnection::ReadWholeBody(std::size_t max_bytes) {
  return m_implementation->reader().ReadWhole(max_bytes);
}

HttpResponse HttpClientConnection::Call(const HttpRequest& request,
                                        std::chrono::milliseconds timeout,
                                        std::size_t max_response_bytes) {
  const std::string_view body = request.body;
  const bool joined = body.size() <= kMaxJoinedBodyBytes;
  m_implementation->SendHead(request.method, request.target, request.headers,
                             HttpBodyLength::Exactly(body.size()),
                             joined ? body : std::string_view());
  if (!joined)
    SendBody(body);
  HttpResponse response;
  response.head = ReadHead(timeout);
  response.body = ReadWholeBody(max_response_bytes);
  return response;
}

bool HttpClientConnection::is_reusable() const {
  return m_implementation->is_reusable();
}

}  // namespace citrongrade
