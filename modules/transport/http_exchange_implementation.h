#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "modules/transport/http_body_length.h"
#include "modules/transport/http_body_reader.h"
#include "modules/transport/http_exchange.h"
#include "modules/transport/http_header.h"
#include "modules/transport/http_message_writer.h"

struct mg_connection;

namespace citrongrade {

// What an HttpExchange knows of CivetWeb. For HttpServer and HttpExchange only.
class HttpExchange::Implementation {
 public:
  Implementation(mg_connection* connection, bool keep_alive);

  bool ClosesAfterwards() const;
  // A client that waits for leave to send its body gets it once.
  void SendContinueIfExpected();
  void SendHead(int status,
                std::span<const HttpHeader> extra,
                HttpBodyLength length,
                std::string_view body_start);

  mg_connection* connection;
  std::string method;
  std::string path;
  std::string query;
  std::vector<HttpHeader> headers;
  HttpBodyLength body_length;
  HttpBodyReader reader;
  HttpMessageWriter writer;
  bool client_keeps_alive;
  bool expects_continue;
  bool close_requested = false;
};

}  // namespace citrongrade
