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
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "modules/coordination/clock.h"
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
// Accepting failed for want of descriptors or memory: some come free meanwhile.
constexpr std::chrono::milliseconds kAcceptPause{50};
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

using Parser = http::request_parser<http::string_body>;

int StatusOf(const boost::system::error_code& error) {
  if (error == http::error::header_limit)
    return static_cast<int>(http::status::request_header_fields_too_large);
  if (error == http::error::body_limit)
    return static_cast<int>(http::status::payload_too_large);
  return static_cast<int>(http::status::bad_request);
}

HttpRequest TakeRequest(Parser& parser) {
  auto& message = parser.get();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = HeadersOf(message);
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
  void StopKeeping() { m_keeps = false; }
  void Close();
  std::size_t in_flight() const { return m_in_flight; }
  std::size_t connection_count() const { return m_sessions.size(); }
  void SetIdleTimeout(std::chrono::milliseconds timeout) {
    m_settings.idle_timeout = timeout;
  }

 private:
  struct Session {
    explicit Session(tcp::socket socket) : stream(std::move(socket)) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::string peer_ip;
    bool is_idle = true;
    // The request being served, told when its caller goes.
    RequestContext* context = nullptr;
    std::uint64_t served = 0;
  };
  using SessionPointer = std::shared_ptr<Session>;

  static Task<> Accept(std::shared_ptr<Implementation> self);
  static Task<> Serve(std::shared_ptr<Implementation> self,
                      SessionPointer session);
  // False when the connection is to be closed.
  Task<bool> ServeOne(SessionPointer session);
  Task<> Refuse(SessionPointer session, int status);
  static bool IsClosedByPeer(Session& session);
  static bool HasUnread(Session& session);
  static void WatchForClose(const SessionPointer& session);

  asio::io_context& m_loop;
  const Clock& m_clock;
  Settings m_settings;
  Handler& m_handler;
  tcp::acceptor m_acceptor;
  std::set<SessionPointer> m_sessions;
  std::size_t m_in_flight = 0;
  bool m_keeps = true;
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
    // A request that has come but was not read yet is still to be answered.
    if (session->is_idle && session->buffer.size() == 0 && !HasUnread(*session))
      session->stream.close();
  }
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
      asio::steady_timer pause(self->m_loop, kAcceptPause);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto peer = socket.remote_endpoint(ignored);
    auto session = std::make_shared<Session>(std::move(socket));
    session->peer_ip = peer.address().to_string();
    self->m_sessions.insert(session);
    asio::co_spawn(self->m_loop, Serve(self, session), asio::detached);
  }
}

Task<> AsyncHttpServer::Implementation::Serve(
    std::shared_ptr<Implementation> self,
    SessionPointer session) {
  try {
    while (co_await self->ServeOne(session)) {
    }
  } catch (const boost::system::system_error&) {
    // The peer closed, or went silent: nothing is left to tell it.
  } catch (const std::exception& error) {
    spdlog::error("event=request-handler-failed reason=\"{}\"", error.what());
  }
  session->stream.close();
  self->m_sessions.erase(session);
}

Task<bool> AsyncHttpServer::Implementation::ServeOne(SessionPointer session) {
  if (m_is_closing && session->served > 0)
    co_return false;
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(m_settings.max_header_bytes));
  parser.body_limit(m_settings.max_body_bytes);
  session->is_idle = true;
  session->stream.expires_after(m_settings.idle_timeout);
  boost::system::error_code error;
  co_await http::async_read_header(
      session->stream, session->buffer, parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    co_await Refuse(session, StatusOf(error));
    co_return false;
  }
  if (error)
    co_return false;
  session->is_idle = false;
  RequestContext context(m_clock.Now(), session->peer_ip);
  struct Count {
    std::size_t& count;
    explicit Count(std::size_t& counted) : count(counted) { ++count; }
    ~Count() { --count; }
  } in_flight(m_in_flight);
  session->stream.expires_after(m_settings.read_timeout);
  if (parser.get()[http::field::expect] == "100-continue") {
    co_await asio::async_write(session->stream,
                               asio::buffer(kContinue.data(), kContinue.size()),
                               asio::use_awaitable);
  }
  if (!parser.is_done()) {
    co_await http::async_read(session->stream, session->buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::body_limit) {
      co_await Refuse(session, StatusOf(error));
      co_return false;
    }
    if (error)
      co_return false;
  }
  const bool keeps_alive = parser.keep_alive();
  HttpRequest request = TakeRequest(parser);
  session->stream.expires_never();
  session->context = &context;
  ++session->served;
  context.SetProbe([session] { return IsClosedByPeer(*session); });
  if (context.LooksGone())
    co_return false;
  WatchForClose(session);
  struct Uncover {
    Session& session;
    ~Uncover() { session.context = nullptr; }
  } uncover{*session};
  HttpResponse response =
      co_await m_handler.Handle(std::move(request), context);
  session->context = nullptr;
  if (context.is_caller_gone())
    co_return false;
  const bool stays = keeps_alive && m_keeps && !m_is_closing;
  auto message = MakeMessage(std::move(response), stays);
  session->stream.expires_after(m_settings.read_timeout);
  co_await http::async_write(session->stream, message, asio::use_awaitable);
  co_return stays;
}

Task<> AsyncHttpServer::Implementation::Refuse(SessionPointer session,
                                               int status) {
  HttpResponse refusal;
  refusal.head.status = status;
  auto message = MakeMessage(std::move(refusal), false);
  co_await http::async_write(session->stream, message, asio::use_awaitable);
}

bool AsyncHttpServer::Implementation::HasUnread(Session& session) {
  return ProbeSocket(session.stream.socket().native_handle()) ==
         SocketState::kUnread;
}

bool AsyncHttpServer::Implementation::IsClosedByPeer(Session& session) {
  return ProbeSocket(session.stream.socket().native_handle()) ==
         SocketState::kClosed;
}

void AsyncHttpServer::Implementation::WatchForClose(
    const SessionPointer& session) {
  const std::uint64_t served = session->served;
  session->stream.socket().async_wait(
      tcp::socket::wait_read,
      [session, served](const boost::system::error_code& error) {
        if (session->context == nullptr || session->served != served)
          return;
        // More bytes are the next request, which waits its turn.
        if (error || IsClosedByPeer(*session))
          session->context->OnCallerGone();
      });
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

void AsyncHttpServer::StopKeeping() {
  m_implementation->StopKeeping();
}

void AsyncHttpServer::Close() {
  m_implementation->Close();
}

std::size_t AsyncHttpServer::in_flight() const {
  return m_implementation->in_flight();
}

std::size_t AsyncHttpServer::connection_count() const {
  return m_implementation->connection_count();
}

}  // namespace citrongrade
