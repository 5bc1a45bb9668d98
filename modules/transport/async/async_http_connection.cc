#include "modules/transport/async/async_http_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include "modules/coordination/load/response_memory.h"
#include "modules/transport/async/beast_headers.h"
#include "modules/transport/async/socket_probe.h"
#include "modules/transport/http_errors.h"

namespace citrongrade {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr unsigned kHttpVersion = 11;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kContinue = 100;
constexpr std::uint64_t kMaxResponseBodyBytes = std::uint64_t{16} << 20U;
constexpr std::uint32_t kMaxResponseHeaderBytes = 32 * 1024;
// A body of unknown length is moved to twice the memory when it outgrows what
// it has.
constexpr std::size_t kBodyGrowthFactor = 2;
// TCP_USER_TIMEOUT in milliseconds: the connection fails when sent bytes stay
// unacknowledged for this long. Without it, a lost connection would hold a call
// until its timeout.
constexpr unsigned kTcpUserTimeoutMs = 3000;

using Parser = http::response_parser<http::string_body>;

// Options of one call.
struct CallOptions {
  AsyncHttpConnection::IsMatchingResponse is_matching_response;
  // Timeout of each piece of the response after the first; zero: the call's
  // timeout covers the whole response.
  Clock::Duration progress_timeout{0};
  // Sends the body only after the peer's 100 Continue.
  bool expects_continue = false;
};

struct OutgoingRequest {
  http::request<http::string_body> message;
  // Serializer of a request whose body is sent only after 100 Continue.
  std::optional<http::request_serializer<http::string_body>> pending_body;
  bool is_written = false;
  bool has_failed = false;
};

std::shared_ptr<OutgoingRequest> MakeOutgoingRequest(HttpRequest request,
                                                     const std::string& host) {
  auto outgoing = std::make_shared<OutgoingRequest>();
  auto& message = outgoing->message;
  message.version(kHttpVersion);
  message.method_string(request.method);
  message.target(request.target);
  AddHeaders(request.headers, message);
  if (message.find(http::field::host) == message.end())
    message.set(http::field::host, host);
  message.body() = std::move(request.body);
  const bool is_bodiless =
      message.body().empty() &&
      (request.method == "GET" || request.method == "HEAD" ||
       request.method == "DELETE");
  if (!is_bodiless)
    message.content_length(message.body().size());
  return outgoing;
}

HttpResponse TakeResponse(Parser& parser) {
  auto& message = parser.get();
  HttpResponse response;
  response.head.status = static_cast<int>(message.result_int());
  response.head.headers = HeadersOf(message);
  response.body = std::move(message.body());
  response.head.body_length = HttpBodyLength::Exactly(response.body.size());
  return response;
}

std::chrono::seconds ParseKeepAliveTimeout(const HttpResponse& response) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto header = response.head.Header("Keep-Alive");
  if (!header)
    return std::chrono::seconds(0);
  const std::size_t at = header->find(kTimeout);
  if (at == std::string_view::npos)
    return std::chrono::seconds(0);
  const std::string_view digits = header->substr(at + kTimeout.size());
  unsigned seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(seconds);
}

[[noreturn]] void ThrowReadError(const boost::system::error_code& error,
                                 bool has_response_bytes,
                                 const std::string& host) {
  const std::string text = host + ": " + error.message();
  if (error == beast::error::timeout)
    throw ResponseTimeoutError(text);
  if (error == http::error::end_of_stream)
    throw ConnectionClosedError(text);
  if (error == http::error::body_limit)
    throw BodyTooLargeError(text);
  if (error == http::error::partial_message)
    throw TruncatedBodyError(text);
  if (error.category() ==
      http::make_error_code(http::error::bad_version).category())
    throw MalformedResponseError(text);
  if (has_response_bytes)
    throw TruncatedBodyError(text);
  throw ConnectionClosedError(text);
}

}  // namespace

class AsyncHttpConnection::Implementation
    : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(asio::io_context& loop,
                 const HttpAddress& address,
                 ResponseMemory* response_memory)
      : m_response_memory(response_memory),
        m_host(address.ToString()),
        m_endpoint(asio::ip::make_address(address.ip), address.port),
        m_stream(loop) {}

  Task<> Connect(Clock::Duration timeout);
  Task<HttpResponse> Call(HttpRequest request,
                          Clock::Duration timeout,
                          CallOptions options);
  void Close() {
    m_is_reusable = false;
    m_stream.close();
  }
  bool is_reusable() const { return m_is_reusable; }
  bool IsStale() const;
  Clock::Duration peer_keep_alive() const { return m_peer_keep_alive; }

 private:
  Task<> WriteHead(std::shared_ptr<OutgoingRequest> outgoing);
  // Starts writing the whole request, or the rest of it after WriteHead().
  void StartWrite(const std::shared_ptr<OutgoingRequest>& outgoing);
  Task<HttpResponse> ReadResponse(std::shared_ptr<OutgoingRequest> outgoing,
                                  Clock::Duration progress_timeout);
  // Throws MalformedResponseError for a status that no response can have. An
  // unknown one below 200 would be skipped like 100 Continue, and what follows
  // it taken for the response.
  void CheckStatus(unsigned status) const;
  // Reads the response piece by piece, as far as there is memory for it.
  Task<> ReadPieces(Parser& parser,
                    Clock::Duration progress_timeout,
                    boost::system::error_code& error);

  ResponseMemory* const m_response_memory;
  const std::string m_host;
  const tcp::endpoint m_endpoint;
  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  bool m_is_reusable = false;
  bool m_peer_keeps_open = false;
  Clock::Duration m_peer_keep_alive{0};
};

Task<> AsyncHttpConnection::Implementation::Connect(Clock::Duration timeout) {
  m_stream.expires_after(timeout);
  boost::system::error_code error;
  co_await m_stream.async_connect(
      m_endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error == asio::error::connection_refused)
    throw ConnectRefusedError(m_host + ": " + error.message());
  if (error)
    throw ConnectError(m_host + ": " + error.message());
  boost::system::error_code ignored;
  m_stream.socket().set_option(tcp::no_delay(true), ignored);
  // Closing always resets the connection, which drops bytes still in transit. A
  // plain close would be delivered after them: requests reached a busy target
  // 0.7 s after their callers had left. Nothing needed is lost, as a connection
  // is closed only when it is idle or its call has been given up.
  m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  setsockopt(m_stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
  m_is_reusable = true;
}

Task<> AsyncHttpConnection::Implementation::ReadPieces(
    Parser& parser,
    Clock::Duration progress_timeout,
    boost::system::error_code& error) {
  bool has_memory = true;
  std::optional<ResponseMemory::Reception> reception;
  if (m_response_memory != nullptr) {
    reception.emplace(*m_response_memory, [this, &has_memory] {
      has_memory = false;
      m_stream.close();
    });
  }
  parser.eager(true);
  while (!error && !parser.is_done()) {
    co_await http::async_read_some(
        m_stream, m_buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (progress_timeout > Clock::Duration(0))
      m_stream.expires_after(progress_timeout);
    const std::size_t bytes = kBodyGrowthFactor * parser.get().body().size();
    if (reception && !reception->TryGrowTo(bytes))
      has_memory = false;
    if (!has_memory) {
      m_stream.close();
      throw BodyTooLargeError(m_host + ": no memory for the response");
    }
  }
}

Task<> AsyncHttpConnection::Implementation::WriteHead(
    std::shared_ptr<OutgoingRequest> outgoing) {
  outgoing->message.set(http::field::expect, "100-continue");
  outgoing->pending_body.emplace(outgoing->message);
  boost::system::error_code error;
  co_await http::async_write_header(
      m_stream, *outgoing->pending_body,
      asio::redirect_error(asio::use_awaitable, error));
  if (error)
    ThrowReadError(error, false, m_host);
}

void AsyncHttpConnection::Implementation::StartWrite(
    const std::shared_ptr<OutgoingRequest>& outgoing) {
  auto on_written = [self = shared_from_this(), outgoing](
                        const boost::system::error_code& error,
                        std::size_t /*bytes*/) {
    outgoing->is_written = !error;
    outgoing->has_failed = static_cast<bool>(error);
  };
  if (outgoing->pending_body)
    http::async_write(m_stream, *outgoing->pending_body, std::move(on_written));
  else
    http::async_write(m_stream, outgoing->message, std::move(on_written));
}

void AsyncHttpConnection::Implementation::CheckStatus(unsigned status) const {
  // This client never asks to switch protocols.
  if (status < kFirstStatus || status > kLastStatus ||
      status == kSwitchingProtocols)
    throw MalformedResponseError(m_host + ": status " + std::to_string(status));
}

Task<HttpResponse> AsyncHttpConnection::Implementation::ReadResponse(
    std::shared_ptr<OutgoingRequest> outgoing,
    Clock::Duration progress_timeout) {
  bool has_continued = false;
  while (true) {
    Parser parser;
    parser.body_limit(kMaxResponseBodyBytes);
    parser.header_limit(kMaxResponseHeaderBytes);
    boost::system::error_code error;
    co_await ReadPieces(parser, progress_timeout, error);
    if (error)
      ThrowReadError(error, parser.got_some(), m_host);
    CheckStatus(parser.get().result_int());
    // A reset is reported once, to the write or to the read. If the write gets
    // it, the read sees an ordinary end of the connection, as after a whole
    // body.
    if (parser.need_eof() && outgoing->has_failed)
      throw TruncatedBodyError(m_host + ": reset before the body's end");
    if (parser.get().result_int() == kContinue && outgoing->pending_body &&
        !has_continued) {
      has_continued = true;
      StartWrite(outgoing);
    }
    if (parser.get().result_int() < kFirstFinalStatus)
      continue;
    m_peer_keeps_open = parser.keep_alive() && !parser.need_eof();
    co_return TakeResponse(parser);
  }
}

Task<HttpResponse> AsyncHttpConnection::Implementation::Call(
    HttpRequest request,
    Clock::Duration timeout,
    CallOptions options) {
  // Connecting, or a pause of the process, may have used up the timeout. A
  // request sent now would arrive after its sender has given it up: a grant
  // would let the target hold keys that belong to another target by then.
  if (timeout <= Clock::Duration(0))
    throw ResponseTimeoutError(m_host + ": no time is left");
  const std::shared_ptr<OutgoingRequest> outgoing =
      MakeOutgoingRequest(std::move(request), m_host);
  m_is_reusable = false;
  m_stream.expires_after(timeout);
  if (options.expects_continue)
    co_await WriteHead(outgoing);
  else
    StartWrite(outgoing);
  bool was_first_response = true;
  while (true) {
    HttpResponse response =
        co_await ReadResponse(outgoing, options.progress_timeout);
    if (options.is_matching_response &&
        !options.is_matching_response(response)) {
      was_first_response = false;
      if (!m_peer_keeps_open)
        throw ConnectionClosedError(m_host + ": closed after another answer");
      continue;
    }
    m_peer_keep_alive = ParseKeepAliveTimeout(response);
    m_is_reusable = was_first_response && outgoing->is_written &&
                    m_peer_keeps_open && m_buffer.size() == 0 &&
                    m_stream.socket().is_open();
    m_stream.expires_never();
    if (!m_is_reusable)
      m_stream.close();
    co_return response;
  }
}

bool AsyncHttpConnection::Implementation::IsStale() const {
  const int handle =
      const_cast<beast::tcp_stream&>(m_stream).socket().native_handle();
  return ProbeSocket(handle) != SocketState::kIdle;
}

AsyncHttpConnection::AsyncHttpConnection(
    std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation)) {}

AsyncHttpConnection::~AsyncHttpConnection() {
  m_implementation->Close();
}

Task<std::unique_ptr<AsyncHttpConnection>> AsyncHttpConnection::Open(
    asio::io_context& loop,
    HttpAddress address,
    Clock::Duration timeout,
    ResponseMemory* response_memory) {
  auto implementation =
      std::make_shared<Implementation>(loop, address, response_memory);
  co_await implementation->Connect(timeout);
  co_return std::unique_ptr<AsyncHttpConnection>(
      new AsyncHttpConnection(std::move(implementation)));
}

Task<HttpResponse> AsyncHttpConnection::Call(
    HttpRequest request,
    Clock::Duration timeout,
    IsMatchingResponse is_matching_response) {
  const auto implementation = m_implementation;
  CallOptions options;
  options.is_matching_response = std::move(is_matching_response);
  co_return co_await implementation->Call(std::move(request), timeout, options);
}

Task<HttpResponse> AsyncHttpConnection::CallExpectingContinue(
    HttpRequest request,
    Clock::Duration timeout) {
  const auto implementation = m_implementation;
  CallOptions options;
  options.expects_continue = true;
  co_return co_await implementation->Call(std::move(request), timeout, options);
}

Task<HttpResponse> AsyncHttpConnection::CallWithProgressTimeout(
    HttpRequest request,
    Clock::Duration first_timeout,
    Clock::Duration progress_timeout) {
  const auto implementation = m_implementation;
  CallOptions options;
  options.progress_timeout = progress_timeout;
  co_return co_await implementation->Call(std::move(request), first_timeout,
                                          options);
}

void AsyncHttpConnection::Close() {
  m_implementation->Close();
}

void AsyncHttpConnection::AddRequestId(std::string_view request_id) {
  m_sent_request_ids.Add(request_id);
}

bool AsyncHttpConnection::is_reusable() const {
  return m_implementation->is_reusable() && !m_sent_request_ids.is_full();
}

bool AsyncHttpConnection::IsStale() const {
  return m_implementation->IsStale();
}

Clock::Duration AsyncHttpConnection::peer_keep_alive() const {
  return m_implementation->peer_keep_alive();
}

}  // namespace citrongrade
