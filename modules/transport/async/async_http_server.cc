#include "modules/transport/async/async_http_server.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/memory_budget.h"
#include "modules/transport/async/beast_headers.h"
#include "modules/transport/async/request_context.h"
#include "modules/transport/async/socket_probe.h"
#include "modules/transport/http_errors.h"

namespace citrongrade {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr unsigned kHttpVersion = 11;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kUnavailable = 503;
// When a body that found no room may be sent again, in seconds.
constexpr const char* kRetryAfterMemory = "0.3";
// Delay before accepting again after a lack of file descriptors or memory, some
// of which may have been freed by then.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
// Limit of the requests of one connection that are handled concurrently.
// Callers that pipeline send only a few; without a limit, one connection could
// hold any number of responses in memory behind a slow one.
constexpr std::size_t kMaxPipelinedRequests = 8;
// How often a connection is checked for its end while received bytes wait to be
// read, which hide it from the event loop.
constexpr std::chrono::milliseconds kCloseProbeInterval{100};
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

using Parser = http::request_parser<http::string_body>;

int StatusOf(const boost::system::error_code& error) {
  if (error == http::error::header_limit)
    return static_cast<int>(http::status::request_header_fields_too_large);
  if (error == http::error::body_limit)
    return static_cast<int>(http::status::payload_too_large);
  return static_cast<int>(http::status::bad_request);
}

HttpRequest HeadOf(Parser& parser) {
  auto& message = parser.get();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = HeadersOf(message);
  return request;
}

HttpRequest TakeRequest(Parser& parser) {
  auto& message = parser.get();
  HttpRequest request = HeadOf(parser);
  request.body = std::move(message.body());
  return request;
}

http::response<http::string_body> MakeMessage(HttpResponse response,
                                              bool keeps_alive) {
  http::response<http::string_body> message;
  message.version(kHttpVersion);
  message.result(static_cast<unsigned>(response.head.status));
  AddHeaders(response.head.headers, message);
  message.keep_alive(keeps_alive);
  message.body() = std::move(response.body);
  const int status = response.head.status;
  if (status != kNoContent && status != kNotModified)
    message.content_length(message.body().size());
  return message;
}

}  // namespace

class AsyncHttpServer::Implementation
    : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(asio::io_context& loop,
                 const Clock& clock,
                 const Settings& settings,
                 Handler& handler)
      : m_loop(loop),
        m_clock(clock),
        m_settings(settings),
        m_handler(handler),
        m_acceptor(loop) {}

  void Listen();
  void DisableKeepAlive() { m_is_keep_alive_enabled = false; }
  void Close();
  std::size_t AnswerPending(const HttpResponse& response);
  std::size_t in_flight() const { return m_in_flight; }
  std::size_t connection_count() const { return m_sessions.size(); }
  void SetIdleTimeout(std::chrono::milliseconds timeout) {
    m_settings.idle_timeout = timeout;
  }
  void SetMaxHeaderBytes(std::size_t bytes) {
    m_settings.max_header_bytes = bytes;
  }
  void SetMaxBodyBytes(std::uint64_t bytes) {
    m_settings.max_body_bytes = bytes;
  }

 private:
  struct Session;
  // One request, from its header having been read to the last byte of its
  // response.
  struct Exchange {
    Exchange(std::size_t& in_flight_count,
             Clock::TimePoint arrived,
             const std::string& caller_ip)
        : context(arrived, caller_ip), in_flight(in_flight_count) {
      ++in_flight;
    }
    ~Exchange() { --in_flight; }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    RequestContext context;
    std::size_t& in_flight;
    bool keeps_alive = false;
    std::optional<MemoryBudget::Reservation> body_memory;
    bool is_body_rejected = false;
    bool has_ended = false;
    // Empty if the handler threw.
    std::optional<HttpResponse> response;
  };
  using SessionPointer = std::shared_ptr<Session>;
  using ExchangePointer = std::shared_ptr<Exchange>;

  struct Session {
    Session(asio::io_context& loop, tcp::socket socket)
        : stream(std::move(socket)),
          pipeline_capacity(loop),
          idle_timer(loop) {}

    bool is_idle() const { return exchanges.empty() && !is_reading; }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::string peer_ip;
    // In the order of the requests, which is also the order of the responses.
    std::deque<ExchangePointer> exchanges;
    // Never expires. It is cancelled to wake AwaitPipelineCapacity() when a
    // response has been written or the caller has disconnected.
    asio::steady_timer pipeline_capacity;
    // Closes the connection when it has been idle for too long.
    asio::steady_timer idle_timer;
    // The header of a request has been read, but its handling has not started.
    bool is_reading = false;
    bool is_writing = false;
    // Nothing is read from the connection, so that no read shows its end.
    bool is_read_paused = false;
    bool is_watched = false;
    // No further request is accepted, because a response closes the connection
    // or the caller has disconnected.
    bool is_ending = false;
    std::uint64_t served = 0;
  };

  static Task<> Accept(std::shared_ptr<Implementation> self);
  // Reads requests until the connection ends, and starts handling each one.
  static Task<> Serve(std::shared_ptr<Implementation> self,
                      SessionPointer session);
  // Returns null if the connection is to be closed.
  Task<ExchangePointer> ReadRequest(SessionPointer session,
                                    HttpRequest& request);
  Task<bool> ReadBody(SessionPointer session,
                      ExchangePointer exchange,
                      Parser& parser);
  // Returns false if the body is rejected or the caller has disconnected.
  Task<bool> SendContinue(SessionPointer session,
                          ExchangePointer exchange,
                          Parser& parser,
                          std::shared_ptr<void>& permit);
  Task<> AwaitPipelineCapacity(SessionPointer session, bool may_overlap);
  static Task<> HandleRequest(std::shared_ptr<Implementation> self,
                              SessionPointer session,
                              ExchangePointer exchange,
                              HttpRequest request);
  // Writes the responses that are ready, in the order of the requests.
  Task<> WriteResponses(SessionPointer session);
  static Task<> WriteResponsesOf(std::shared_ptr<Implementation> self,
                                 SessionPointer session);
  Task<> WriteRejection(SessionPointer session, HttpResponse rejection);
  // Returns false if the budget has no room for a body of this length.
  bool ReserveBody(Exchange& exchange, std::uint64_t bytes);
  void StartIdleTimer(const SessionPointer& session);
  void CloseSession(const SessionPointer& session);
  static void OnCallerGone(Session& session);
  static bool IsClosedByCaller(Session& session);
  static bool HasUnreadBytes(Session& session);
  // Cancels the session's requests if the caller closes the connection while
  // reading is paused.
  static void StartWatch(const SessionPointer& session);
  static Task<> WatchForClose(SessionPointer session);

  asio::io_context& m_loop;
  const Clock& m_clock;
  Settings m_settings;
  Handler& m_handler;
  tcp::acceptor m_acceptor;
  std::set<SessionPointer> m_sessions;
  std::size_t m_in_flight = 0;
  bool m_is_keep_alive_enabled = true;
  bool m_is_closing = false;
};

void AsyncHttpServer::Implementation::Listen() {
  const tcp::endpoint endpoint(asio::ip::make_address(m_settings.address.ip),
                               m_settings.address.port);
  const std::string text = m_settings.address.ToString();
  try {
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
  } catch (const boost::system::system_error& error) {
    if (error.code() == asio::error::address_in_use)
      throw AddressInUseError(text);
    throw HttpServerStartError(text + ": " + error.what());
  }
  asio::co_spawn(m_loop, Accept(shared_from_this()), asio::detached);
}

void AsyncHttpServer::Implementation::Close() {
  m_is_closing = true;
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  for (const SessionPointer& session : m_sessions) {
    // A request that has arrived but has not been read yet must still be
    // answered.
    if (session->is_idle() && session->buffer.size() == 0 &&
        !HasUnreadBytes(*session))
      session->stream.close();
  }
}

std::size_t AsyncHttpServer::Implementation::AnswerPending(
    const HttpResponse& response) {
  std::size_t count = 0;
  // A copy, as a session is removed with its last response.
  const std::set<SessionPointer> sessions = m_sessions;
  for (const SessionPointer& session : sessions) {
    for (const ExchangePointer& exchange : session->exchanges) {
      if (exchange->has_ended)
        continue;
      exchange->response = response;
      exchange->has_ended = true;
      ++count;
    }
    if (!session->is_writing && !session->exchanges.empty()) {
      asio::co_spawn(m_loop, WriteResponsesOf(shared_from_this(), session),
                     asio::detached);
    }
  }
  return count;
}

Task<> AsyncHttpServer::Implementation::WriteResponsesOf(
    std::shared_ptr<Implementation> self,
    SessionPointer session) {
  if (!session->is_writing)
    co_await self->WriteResponses(session);
}

Task<> AsyncHttpServer::Implementation::Accept(
    std::shared_ptr<Implementation> self) {
  while (!self->m_is_closing) {
    boost::system::error_code error;
    tcp::socket socket = co_await self->m_acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (self->m_is_closing)
      co_return;
    if (error) {
      spdlog::warn("event=accept-failed address={} reason=\"{}\"",
                   self->m_settings.address.ToString(), error.message());
      asio::steady_timer pause(self->m_loop, kAcceptRetryDelay);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto peer = socket.remote_endpoint(ignored);
    auto session = std::make_shared<Session>(self->m_loop, std::move(socket));
    session->peer_ip = peer.address().to_string();
    self->m_sessions.insert(session);
    asio::co_spawn(self->m_loop, Serve(self, session), asio::detached);
  }
}

Task<> AsyncHttpServer::Implementation::Serve(
    std::shared_ptr<Implementation> self,
    SessionPointer session) {
  bool stays_open = true;
  try {
    while (stays_open) {
      HttpRequest request;
      const ExchangePointer exchange =
          co_await self->ReadRequest(session, request);
      if (!exchange)
        break;
      stays_open = exchange->keeps_alive;
      // A stopping server closes a connection with its last pending response.
      // When it still accepted pipelined requests, a caller that always sent
      // the next one ahead kept the connection open, and its requests were
      // aborted when the server's time to stop was over.
      const bool may_overlap =
          !session->exchanges.empty() && self->m_is_keep_alive_enabled &&
          !self->m_is_closing && self->m_handler.CanPipeline(request);
      co_await self->AwaitPipelineCapacity(session, may_overlap);
      session->is_reading = false;
      // The request followed a response that closed the connection. To its
      // caller it was never read.
      if (session->is_ending)
        break;
      ++session->served;
      if (exchange->context.ProbeCallerGone()) {
        OnCallerGone(*session);
        break;
      }
      session->exchanges.push_back(exchange);
      asio::co_spawn(self->m_loop,
                     HandleRequest(self, session, exchange, std::move(request)),
                     asio::detached);
    }
    if (!stays_open) {
      session->is_read_paused = true;
      StartWatch(session);
    }
  } catch (const boost::system::system_error&) {
    // The peer has closed the connection or timed out: no response can reach
    // it.
    OnCallerGone(*session);
  }
  session->is_reading = false;
  if (stays_open)
    session->is_ending = true;
  if (session->exchanges.empty())
    self->CloseSession(session);
}

Task<AsyncHttpServer::Implementation::ExchangePointer>
AsyncHttpServer::Implementation::ReadRequest(SessionPointer session,
                                             HttpRequest& request) {
  if (m_is_closing && session->served > 0 && session->exchanges.empty())
    co_return nullptr;
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(m_settings.max_header_bytes));
  parser.body_limit(m_settings.max_body_bytes);
  if (session->exchanges.empty())
    StartIdleTimer(session);
  session->stream.expires_never();
  boost::system::error_code error;
  co_await http::async_read_header(
      session->stream, session->buffer, parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (session->is_ending)
    co_return nullptr;
  const bool is_malformed =
      error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message;
  if (is_malformed) {
    co_await AwaitPipelineCapacity(session, false);
    HttpResponse rejection = HttpResponse::WithStatus(StatusOf(error));
    if (!session->is_ending)
      co_await WriteRejection(session, std::move(rejection));
    co_return nullptr;
  }
  if (error) {
    OnCallerGone(*session);
    co_return nullptr;
  }
  session->is_reading = true;
  session->idle_timer.cancel();
  auto exchange =
      std::make_shared<Exchange>(m_in_flight, m_clock.Now(), session->peer_ip);
  exchange->context.SetProbe([session] { return IsClosedByCaller(*session); });
  if (!co_await ReadBody(session, exchange, parser)) {
    if (exchange->is_body_rejected) {
      co_await AwaitPipelineCapacity(session, false);
      co_await WriteRejection(session, m_handler.RejectForMemory());
    }
    co_return nullptr;
  }
  exchange->keeps_alive = parser.keep_alive();
  request = TakeRequest(parser);
  session->stream.expires_never();
  co_return exchange;
}

Task<bool> AsyncHttpServer::Implementation::ReadBody(SessionPointer session,
                                                     ExchangePointer exchange,
                                                     Parser& parser) {
  if (!ReserveBody(*exchange, parser.content_length().value_or(0)))
    co_return false;
  std::shared_ptr<void> permit;
  const bool expects_continue =
      parser.get()[http::field::expect] == "100-continue";
  if (expects_continue) {
    const bool is_admitted =
        co_await SendContinue(session, exchange, parser, permit);
    if (!is_admitted)
      co_return false;
  }
  session->stream.expires_after(m_settings.read_timeout);
  if (parser.is_done())
    co_return true;
  boost::system::error_code error;
  while (!error && !parser.is_done()) {
    co_await http::async_read_some(
        session->stream, session->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    // A body in chunks shows its length only as it arrives.
    if (!error && !ReserveBody(*exchange, parser.get().body().size()))
      co_return false;
  }
  if (error == http::error::body_limit) {
    co_await AwaitPipelineCapacity(session, false);
    HttpResponse rejection = HttpResponse::WithStatus(StatusOf(error));
    co_await WriteRejection(session, std::move(rejection));
    co_return false;
  }
  if (error)
    OnCallerGone(*session);
  co_return !error;
}

bool AsyncHttpServer::Implementation::ReserveBody(Exchange& exchange,
                                                  std::uint64_t bytes) {
  if (m_settings.body_budget == nullptr || bytes == 0)
    return true;
  if (!exchange.body_memory)
    exchange.body_memory.emplace(*m_settings.body_budget);
  exchange.is_body_rejected = !exchange.body_memory->TryGrowTo(bytes);
  return !exchange.is_body_rejected;
}

Task<bool> AsyncHttpServer::Implementation::SendContinue(
    SessionPointer session,
    ExchangePointer exchange,
    Parser& parser,
    std::shared_ptr<void>& permit) {
  // Responses to earlier requests must be sent first.
  co_await AwaitPipelineCapacity(session, false);
  HttpRequest head = HeadOf(parser);
  const std::uint64_t bytes = parser.content_length().value_or(0);
  std::optional<HttpResponse> rejection = co_await m_handler.AdmitBody(
      std::move(head), bytes, exchange->context, permit);
  session->stream.expires_after(m_settings.read_timeout);
  if (rejection) {
    co_await WriteRejection(session, std::move(*rejection));
    co_return false;
  }
  if (exchange->context.ProbeCallerGone()) {
    OnCallerGone(*session);
    co_return false;
  }
  co_await asio::async_write(session->stream,
                             asio::buffer(kContinue.data(), kContinue.size()),
                             asio::use_awaitable);
  co_return true;
}

Task<> AsyncHttpServer::Implementation::AwaitPipelineCapacity(
    SessionPointer session,
    bool may_overlap) {
  const std::size_t max_pending = may_overlap ? kMaxPipelinedRequests - 1 : 0;
  session->is_read_paused = session->exchanges.size() > max_pending;
  if (session->is_read_paused)
    StartWatch(session);
  while (session->exchanges.size() > max_pending && !session->is_ending) {
    session->pipeline_capacity.expires_at(
        asio::steady_timer::time_point::max());
    boost::system::error_code ignored;
    co_await session->pipeline_capacity.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  session->is_read_paused = false;
}

Task<> AsyncHttpServer::Implementation::HandleRequest(
    std::shared_ptr<Implementation> self,
    SessionPointer session,
    ExchangePointer exchange,
    HttpRequest request) {
  std::optional<HttpResponse> response;
  try {
    response =
        co_await self->m_handler.Handle(std::move(request), exchange->context);
  } catch (const std::exception& error) {
    spdlog::error("event=request-handler-failed reason=\"{}\"", error.what());
  }
  // AnswerPending() has responded.
  if (exchange->has_ended)
    co_return;
  exchange->response = std::move(response);
  exchange->has_ended = true;
  co_await WriteResponsesOf(self, session);
}

Task<> AsyncHttpServer::Implementation::WriteResponses(SessionPointer session) {
  session->is_writing = true;
  while (!session->exchanges.empty() && session->exchanges.front()->has_ended) {
    const ExchangePointer exchange = session->exchanges.front();
    bool stays_open = false;
    if (exchange->response && !exchange->context.is_caller_gone()) {
      // Requests that were started after this one must still be answered.
      stays_open =
          exchange->keeps_alive && (session->exchanges.size() > 1 ||
                                    (m_is_keep_alive_enabled && !m_is_closing));
      session->is_ending |= !stays_open;
      auto message = MakeMessage(std::move(*exchange->response), stays_open);
      session->stream.expires_after(m_settings.read_timeout);
      boost::system::error_code error;
      co_await http::async_write(
          session->stream, message,
          asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        stays_open = false;
        OnCallerGone(*session);
      }
    }
    session->exchanges.pop_front();
    if (!stays_open) {
      session->stream.close();
      OnCallerGone(*session);
    }
    session->pipeline_capacity.cancel();
  }
  session->is_writing = false;
  if (!session->exchanges.empty())
    co_return;
  if (session->is_ending)
    CloseSession(session);
  else if (!session->is_reading)
    StartIdleTimer(session);
}

void AsyncHttpServer::Implementation::StartIdleTimer(
    const SessionPointer& session) {
  session->idle_timer.expires_after(m_settings.idle_timeout);
  session->idle_timer.async_wait(
      [session](const boost::system::error_code& error) {
        if (!error && session->is_idle())
          session->stream.close();
      });
}

void AsyncHttpServer::Implementation::CloseSession(
    const SessionPointer& session) {
  session->idle_timer.cancel();
  session->stream.close();
  m_sessions.erase(session);
}

void AsyncHttpServer::Implementation::OnCallerGone(Session& session) {
  session.is_ending = true;
  session.pipeline_capacity.cancel();
  // A copy, as a cancelled request may remove its exchange at once.
  const std::deque<ExchangePointer> open_exchanges = session.exchanges;
  for (const ExchangePointer& exchange : open_exchanges)
    exchange->context.OnCallerGone();
}

Task<> AsyncHttpServer::Implementation::WriteRejection(SessionPointer session,
                                                       HttpResponse rejection) {
  auto message = MakeMessage(std::move(rejection), false);
  co_await http::async_write(session->stream, message, asio::use_awaitable);
}

bool AsyncHttpServer::Implementation::HasUnreadBytes(Session& session) {
  return ProbeSocket(session.stream.socket().native_handle()) ==
         SocketState::kReadable;
}

bool AsyncHttpServer::Implementation::IsClosedByCaller(Session& session) {
  return IsClosedByPeer(session.stream.socket().native_handle());
}

void AsyncHttpServer::Implementation::StartWatch(
    const SessionPointer& session) {
  if (std::exchange(session->is_watched, true))
    return;
  asio::co_spawn(session->stream.get_executor(), WatchForClose(session),
                 asio::detached);
}

Task<> AsyncHttpServer::Implementation::WatchForClose(SessionPointer session) {
  asio::steady_timer pause(session->stream.get_executor());
  boost::system::error_code error;
  while (session->is_read_paused && session->stream.socket().is_open()) {
    // Readable bytes are the next request, which is read in its turn. They stay
    // readable until then, so that waiting for more would return at once.
    if (HasUnreadBytes(*session)) {
      pause.expires_after(kCloseProbeInterval);
      co_await pause.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
    } else {
      co_await session->stream.socket().async_wait(
          tcp::socket::wait_read,
          asio::redirect_error(asio::use_awaitable, error));
    }
    if (error || IsClosedByCaller(*session)) {
      OnCallerGone(*session);
      break;
    }
  }
  session->is_watched = false;
}

HttpResponse AsyncHttpServer::Handler::RejectForMemory() {
  HttpResponse rejection = HttpResponse::WithStatus(kUnavailable);
  rejection.head.headers.push_back({"Retry-After", kRetryAfterMemory});
  return rejection;
}

AsyncHttpServer::AsyncHttpServer(asio::io_context& loop,
                                 const Clock& clock,
                                 const Settings& settings,
                                 Handler& handler)
    : m_implementation(
          std::make_shared<Implementation>(loop, clock, settings, handler)) {
  m_implementation->Listen();
}

AsyncHttpServer::~AsyncHttpServer() {
  m_implementation->Close();
}

void AsyncHttpServer::SetIdleTimeout(std::chrono::milliseconds timeout) {
  m_implementation->SetIdleTimeout(timeout);
}

void AsyncHttpServer::SetMaxHeaderBytes(std::size_t bytes) {
  m_implementation->SetMaxHeaderBytes(bytes);
}

void AsyncHttpServer::SetMaxBodyBytes(std::uint64_t bytes) {
  m_implementation->SetMaxBodyBytes(bytes);
}

void AsyncHttpServer::DisableKeepAlive() {
  m_implementation->DisableKeepAlive();
}

void AsyncHttpServer::Close() {
  m_implementation->Close();
}

std::size_t AsyncHttpServer::AnswerPending(const HttpResponse& response) {
  return m_implementation->AnswerPending(response);
}

std::size_t AsyncHttpServer::in_flight() const {
  return m_implementation->in_flight();
}

std::size_t AsyncHttpServer::connection_count() const {
  return m_implementation->connection_count();
}

}  // namespace citrongrade
