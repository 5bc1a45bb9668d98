#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <thread>

#include "modules/transport/http_client_connection.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/http_exchange.h"
#include "modules/transport/http_handler.h"
#include "modules/transport/http_server.h"
#include "modules/transport/http_server_settings.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxBody = 1 << 20;
constexpr int kDescriptorsLookedAt = 256;

// Answers by path, well and badly.
class ScriptedHandler : public HttpHandler {
 public:
  void Handle(HttpExchange& exchange) override {
    const std::string& path = exchange.path();
    if (path == "/echo") {
      exchange.Send(200, {{{"Seen-Query", exchange.query()}}},
                    exchange.ReadWholeBody(kMaxBody));
    } else if (path == "/chunks") {
      exchange.SendHead(200, {}, HttpBodyLength::Chunked());
      exchange.SendBody("one,");
      exchange.SendBody("two");
      exchange.EndBody();
    } else if (path == "/cut-length") {
      exchange.SendHead(200, {}, HttpBodyLength::Exactly(10));
      exchange.SendBody("short");
    } else if (path == "/cut-chunks") {
      exchange.SendHead(200, {}, HttpBodyLength::Chunked());
      exchange.SendBody("short");
    } else if (path == "/throw") {
      throw std::runtime_error("a fault of the handler");
    } else if (path == "/refuse") {
      exchange.Send(503, {}, "no");
    } else if (path == "/none") {
      exchange.Send(204, {}, {});
    } else if (path == "/close") {
      exchange.CloseConnection();
    } else if (path == "/slow") {
      std::this_thread::sleep_for(milliseconds(300));
      exchange.Send(200, {}, "late");
    }
  }
};

HttpServerSettings LoopbackSettings() {
  HttpServerSettings settings;
  settings.address = {"127.0.0.1", 0};
  settings.thread_count = 4;
  return settings;
}

// 0 for a descriptor that is no connected socket.
std::uint16_t PeerPortOf(int descriptor) {
  sockaddr_in peer = {};
  socklen_t length = sizeof(peer);
  getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length);
  return ntohs(peer.sin_port);
}

struct Pair {
  ScriptedHandler handler;
  HttpServer server{LoopbackSettings(), handler};
  HttpClientConnection client{server.address()};

  HttpResponse Get(const std::string& target) {
    return client.Call({.method = "GET", .target = target}, kTimeout, kMaxBody);
  }
};

}  // namespace

TEST_CASE("one connection serves request after request, each its own answer") {
  Pair pair;
  for (int i = 0; i < 100; ++i) {
    const std::string body(static_cast<std::size_t>(i) * 397,
                           static_cast<char>('a' + i % 26));
    const HttpResponse response =
        pair.client.Call({.method = "POST",
                          .target = "/echo?n=" + std::to_string(i),
                          .body = body},
                         kTimeout, kMaxBody);
    REQUIRE(response.head.status == 200);
    REQUIRE(response.body == body);
    REQUIRE(response.head.Header("seen-query") == "n=" + std::to_string(i));
    REQUIRE(pair.client.is_reusable());
  }
}

TEST_CASE("bodies go through in chunks both ways") {
  Pair pair;
  pair.client.SendHead("POST", "/echo", {}, HttpBodyLength::Chunked());
  std::string sent;
  for (int i = 0; i < 50; ++i) {
    const std::string piece(static_cast<std::size_t>(i) * 31 + 1, 'x');
    pair.client.SendBody(piece);
    sent += piece;
  }
  pair.client.EndBody();
  CHECK(pair.client.ReadHead(kTimeout).status == 200);
  CHECK(pair.client.ReadWholeBody(kMaxBody) == sent);
  for (int i = 0; i < 3; ++i)
    CHECK(pair.Get("/chunks").body == "one,two");
  CHECK(pair.client.is_reusable());
}

TEST_CASE("HEAD, 204 and refusals keep the connection") {
  Pair pair;
  CHECK(pair.client
            .Call({.method = "HEAD", .target = "/chunks"}, kTimeout, kMaxBody)
            .body.empty());
  CHECK(pair.Get("/none").head.status == 204);
  const HttpResponse refused = pair.client.Call(
      {.method = "POST", .target = "/refuse", .body = std::string(100000, 'b')},
      kTimeout, kMaxBody);
  CHECK(refused.head.status == 503);
  CHECK(pair.client.is_reusable());
  CHECK(pair.Get("/chunks").body == "one,two");
}

// The caller would take half an answer for a whole one. The server declares ten
// bytes (or chunks), sends five and closes; CivetWeb's client returns 0, as at
// a regular end. The count against the declared length tells them apart.
TEST_CASE("a body cut short is an error, never a short answer") {
  Pair pair;
  SUBCASE("by length") {
    CHECK_THROWS_AS(pair.Get("/cut-length"), TruncatedBodyError);
  }
  SUBCASE("by chunks") {
    CHECK_THROWS_AS(pair.Get("/cut-chunks"), TruncatedBodyError);
  }
  CHECK_FALSE(pair.client.is_reusable());
}

// The client sends half of its upload and goes away. The handler must not see a
// regular end of the body, or it would store half a voucher.
TEST_CASE("an upload cut short is an error at the server") {
  class Recorder : public HttpHandler {
   public:
    void Handle(HttpExchange& exchange) override {
      try {
        exchange.ReadWholeBody(kMaxBody);
      } catch (const TruncatedBodyError&) {
        m_truncated = true;
      }
      m_done = true;
    }
    std::atomic<bool> m_truncated = false;
    std::atomic<bool> m_done = false;
  };
  Recorder handler;
  HttpServer server(LoopbackSettings(), handler);
  HttpBodyLength length = HttpBodyLength::Exactly(1000);
  SUBCASE("by length") {}
  SUBCASE("by chunks") {
    length = HttpBodyLength::Chunked();
  }
  {
    HttpClientConnection client(server.address());
    client.SendHead("PUT", "/", {}, length);
    client.SendBody("half");
  }
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!handler.m_done && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(milliseconds(1));
  CHECK(handler.m_truncated);
}

TEST_CASE("each way to get no answer has its own type") {
  Pair pair;
  SUBCASE("closed") {
    CHECK_THROWS_AS(pair.Get("/close"), ConnectionClosedError);
  }
  SUBCASE("silent") {
    CHECK_THROWS_AS(
        pair.client.Call({.target = "/slow"}, milliseconds(30), kMaxBody),
        ResponseTimeoutError);
  }
  SUBCASE("handler failed") {
    CHECK(pair.Get("/throw").head.status == 500);
  }
  CHECK_FALSE(pair.client.is_reusable());
}

// A small body goes out after its head. With Nagle's algorithm it would wait
// for the server's delayed acknowledgement, about 40 ms for each request. The
// socket's option is looked at, not the time, which a busy machine stretches.
TEST_CASE("a body sent after its head doesn't wait for an acknowledgement") {
  const Pair pair;
  int connections = 0;
  for (int descriptor = 0; descriptor < kDescriptorsLookedAt; ++descriptor) {
    if (PeerPortOf(descriptor) != pair.server.address().port)
      continue;
    ++connections;
    int no_delay = 0;
    socklen_t length = sizeof(no_delay);
    getsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &no_delay, &length);
    CHECK(no_delay == 1);
  }
  CHECK(connections == 1);
}

TEST_CASE("addresses") {
  Pair pair;
  HttpServerSettings settings = LoopbackSettings();
  settings.address = pair.server.address();
  CHECK_THROWS_AS(HttpServer(settings, pair.handler), AddressInUseError);
  const HttpAddress address = pair.server.address();
  pair.server.Stop();
  CHECK_THROWS_AS(HttpClientConnection{address}, ConnectError);
  CHECK(HttpAddress::Parse("127.0.0.1:80") == HttpAddress{"127.0.0.1", 80});
  for (const char* text : {"", "127.0.0.1", "localhost:80", "1.2.3.4:x",
                           "1.2.3.4:70000", "1.2.3.4:80 "})
    CHECK_THROWS_AS(HttpAddress::Parse(text), InvalidHttpAddressError);
}

TEST_CASE("a line break can't be smuggled into a head") {
  Pair pair;
  CHECK_THROWS_AS(
      pair.client.Call({.headers = {{"A", "b\r\nC: d"}}}, kTimeout, kMaxBody),
      std::invalid_argument);
}

}  // namespace citrongrade
