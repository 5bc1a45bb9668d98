#include "modules/transport/http_connection_pool.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>

#include "modules/transport/http_errors.h"
#include "modules/transport/http_exchange.h"
#include "modules/transport/http_handler.h"
#include "modules/transport/http_server.h"
#include "modules/transport/http_server_settings.h"

namespace citrongrade {

namespace {

constexpr std::chrono::seconds kTimeout(10);
constexpr std::size_t kMaxBody = 1000;

// Answers with the address of the client, which tells connections apart.
class WhoAmI : public HttpHandler {
 public:
  void Handle(HttpExchange& exchange) override {
    if (exchange.path() == "/close")
      exchange.CloseConnection();
    exchange.Send(200, {}, exchange.remote_address());
  }
};

std::string Call(HttpClientConnection& connection, const char* target) {
  return connection
      .Call({.method = "GET", .target = target}, kTimeout, kMaxBody)
      .body;
}

}  // namespace

TEST_CASE(
    "a connection that was given back is taken again, unless it is spent") {
  WhoAmI handler;
  HttpServer server(HttpServerSettings{.address = {"127.0.0.1", 0}}, handler);
  HttpConnectionPool pool(server.address(), 1);
  HttpClientConnection first = pool.Take();
  HttpClientConnection second = pool.Take();
  const std::string name = Call(first, "/");
  CHECK(Call(second, "/") != name);

  pool.GiveBack(std::move(first));
  pool.GiveBack(std::move(second));
  HttpClientConnection again = pool.Take();
  CHECK(Call(again, "/") == name);

  bool is_cleared = false;
  SUBCASE("closed by the server") {
    Call(again, "/close");
  }
  SUBCASE("cleared") {
    is_cleared = true;
  }
  pool.GiveBack(std::move(again));
  if (is_cleared)
    pool.Clear();
  HttpClientConnection fresh = pool.Take();
  CHECK(Call(fresh, "/") != name);
}

}  // namespace citrongrade
