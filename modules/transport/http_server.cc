#include "modules/transport/http_server.h"

#include <civetweb.h>
#include <spdlog/spdlog.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <exception>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "modules/transport/http_errors.h"
#include "modules/transport/http_exchange.h"
#include "modules/transport/http_exchange_implementation.h"
#include "modules/transport/http_handler.h"
#include "modules/transport/http_library.h"
#include "modules/transport/http_message_head.h"
#include "modules/transport/http_message_writer.h"

namespace citrongrade {

namespace {

constexpr int kInternalError = 500;
// What the library's error callback returns.
constexpr int kAnswered = 0;
constexpr int kLeaveToLibrary = 1;
constexpr int kListenBacklog = 1024;
constexpr std::chrono::milliseconds kKnockInterval(5);

// Names and values of the library's options, kept alive while it reads them.
class ServerOptions {
 public:
  explicit ServerOptions(const HttpServerSettings& settings) {
    Add("listening_ports", settings.address.ToString());
    Add("num_threads", std::to_string(settings.thread_count));
    Add("connection_queue", std::to_string(settings.connection_queue_size));
    Add("listen_backlog", std::to_string(kListenBacklog));
    Add("max_request_size", std::to_string(settings.max_header_bytes));
    Add("enable_keep_alive", settings.keep_alive ? "yes" : "no");
    Add("keep_alive_timeout_ms",
        std::to_string(settings.keep_alive_timeout.count()));
    Add("request_timeout_ms", std::to_string(settings.request_timeout.count()));
    Add("tcp_nodelay", settings.tcp_nodelay ? "1" : "0");
    // Paths are passed on as they came.
    Add("decode_url", "no");
  }

  std::vector<const char*> Pointers() const {
    std::vector<const char*> pointers;
    for (const std::string& text : m_texts)
      pointers.push_back(text.c_str());
    pointers.push_back(nullptr);
    return pointers;
  }

 private:
  void Add(const std::string& name, const std::string& value) {
    m_texts.push_back(name);
    m_texts.push_back(value);
  }

  std::vector<std::string> m_texts;
};

// The library's accept loop looks at its stop flag every 2 s, or when a
// connection comes in. Returns false once nobody listens any more.
bool Knock(const HttpAddress& address) {
  std::array<char, 64> error = {};
  mg_connection* connection = mg_connect_client(
      address.ip.c_str(), address.port, 0, error.data(), error.size());
  if (connection != nullptr)
    mg_close_connection(connection);
  return connection != nullptr;
}

void AnswerFailure(HttpExchange& exchange) {
  exchange.CloseConnection();
  if (exchange.head_sent())
    return;
  try {
    exchange.Send(kInternalError, {}, {});
  } catch (const HttpError&) {
    // The client is gone as well.
  }
}

}  // namespace

class HttpServer::Implementation {
 public:
  Implementation(const HttpServerSettings& settings, HttpHandler& handler);
  ~Implementation() { Stop(); }

  void Stop();
  const HttpAddress& address() const { return m_address; }

 private:
  static int OnRequest(mg_connection* connection);
  static int OnError(mg_connection* connection,
                     int status,
                     const char* message);
  static int OnMessage(const mg_connection* connection, const char* message);

  int Serve(mg_connection* connection);
  void Note(const char* message);
  [[noreturn]] void ThrowStartError() const;

  HttpHandler& m_handler;
  const bool m_keep_alive;
  HttpAddress m_address;
  std::mutex m_message_mutex;
  std::string m_last_message;
  mg_context* m_context = nullptr;
};

HttpServer::Implementation::Implementation(const HttpServerSettings& settings,
                                           HttpHandler& handler)
    : m_handler(handler),
      m_keep_alive(settings.keep_alive),
      m_address(settings.address) {
  InitializeHttpLibrary();
  mg_callbacks callbacks = {};
  callbacks.begin_request = &OnRequest;
  callbacks.http_error = &OnError;
  callbacks.log_message = &OnMessage;
  const ServerOptions options(settings);
  std::vector<const char*> pointers = options.Pointers();
  m_context = mg_start(&callbacks, this, pointers.data());
  if (m_context == nullptr)
    ThrowStartError();
  mg_server_port port = {};
  if (mg_get_server_ports(m_context, 1, &port) == 1)
    m_address.port = static_cast<std::uint16_t>(port.port);
}

void HttpServer::Implementation::Stop() {
  if (m_context == nullptr)
    return;
  std::atomic<bool> stopped = false;
  std::thread stopper([this, &stopped] {
    mg_stop(m_context);
    stopped = true;
  });
  while (!stopped && Knock(m_address))
    std::this_thread::sleep_for(kKnockInterval);
  stopper.join();
  m_context = nullptr;
}

int HttpServer::Implementation::OnRequest(mg_connection* connection) {
  auto* self = static_cast<Implementation*>(
      mg_get_user_data(mg_get_context(connection)));
  return self->Serve(connection);
}

int HttpServer::Implementation::OnError(mg_connection* connection,
                                        int /*status*/,
                                        const char* /*message*/) {
  auto* self = static_cast<Implementation*>(
      mg_get_user_data(mg_get_context(connection)));
  const std::optional<HttpResponse> response =
      self->m_handler.RefuseUnreadable();
  if (!response)
    return kLeaveToLibrary;
  HttpMessageHead head;
  head.first_line =
      "HTTP/1.1 " + std::to_string(response->head.status) + " " +
      mg_get_response_code_text(connection, response->head.status);
  head.headers = response->head.headers;
  head.headers.push_back({"Connection", "close"});
  head.body_length = HttpBodyLength::Exactly(response->body.size());
  try {
    HttpMessageWriter(connection).WriteHead(head, response->body);
  } catch (const HttpError&) {
    // The client is gone.
  }
  return kAnswered;
}

int HttpServer::Implementation::OnMessage(const mg_connection* connection,
                                          const char* message) {
  mg_context* context = mg_get_context(connection);
  if (context != nullptr)
    static_cast<Implementation*>(mg_get_user_data(context))->Note(message);
  return 1;
}

int HttpServer::Implementation::Serve(mg_connection* connection) {
  HttpExchange exchange(
      std::make_unique<HttpExchange::Implementation>(connection, m_keep_alive));
  try {
    m_handler.Handle(exchange);
  } catch (const HttpError& error) {
    spdlog::debug("event=http-exchange-cut path=\"{}\" reason=\"{}\"",
                  exchange.path(), error.what());
    AnswerFailure(exchange);
  } catch (const std::exception& error) {
    spdlog::error("event=http-handler-failed path=\"{}\" reason=\"{}\"",
                  exchange.path(), error.what());
    AnswerFailure(exchange);
  }
  exchange.Finish();
  // Any number above 0: the request is dealt with. Only the library's access
  // log, which is off, would use it as a status.
  return 1;
}

void HttpServer::Implementation::Note(const char* message) {
  spdlog::debug("event=http-library-message message=\"{}\"", message);
  const std::lock_guard lock(m_message_mutex);
  m_last_message += message;
  m_last_message += "; ";
}

void HttpServer::Implementation::ThrowStartError() const {
  const std::string text = m_address.ToString() + ": " + m_last_message;
  // The library tells the reason in its message alone.
  if (m_last_message.find(std::strerror(EADDRINUSE)) != std::string::npos)
    throw AddressInUseError(text);
  throw HttpServerStartError(text);
}

HttpServer::HttpServer(const HttpServerSettings& settings, HttpHandler& handler)
    : m_implementation(std::make_unique<Implementation>(settings, handler)) {}

HttpServer::~HttpServer() = default;

const HttpAddress& HttpServer::address() const {
  return m_implementation->address();
}

void HttpServer::Stop() {
  m_implementation->Stop();
}

}  // namespace citrongrade
