#include "modules/transport/http_platform_log.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "modules/coordination/log_errors.h"
#include "modules/transport/http_address.h"
#include "modules/transport/http_exchange.h"
#include "modules/transport/http_handler.h"
#include "modules/transport/http_log_record_codec.h"
#include "modules/transport/http_server.h"
#include "modules/transport/http_server_settings.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout = std::chrono::seconds(10);

class IdCodec : public HttpLogRecordCodec {
 public:
  std::string Encode(const RecordId& id, const Record&) const override {
    return id.value();
  }
  LogEntry Decode(LogOffset offset, const std::string& text) const override {
    return {offset, RecordId(text), UnreadableRecord{}};
  }
};

// Answers each call with what the test scripted for it.
class ScriptedLog : public HttpHandler {
 public:
  void Handle(HttpExchange& exchange) override {
    m_last_call = exchange.method() + " " + exchange.path() + "?" +
                  exchange.query() + " " + exchange.ReadWholeBody(1000);
    if (m_closes) {
      exchange.CloseConnection();
      return;
    }
    std::this_thread::sleep_for(std::exchange(m_delay, milliseconds(0)));
    exchange.Send(m_status, {}, m_body);
  }

  int m_status = 200;
  std::string m_body;
  bool m_closes = false;
  milliseconds m_delay{0};
  std::string m_last_call;
};

struct Fixture {
  ScriptedLog script;
  HttpServer server{HttpServerSettings{.address = {"127.0.0.1", 0}}, script};

  HttpPlatformLog Log(milliseconds timeout = kTimeout) const {
    return {server.address(), "mesh", std::make_shared<IdCodec>(), timeout};
  }
};

}  // namespace

TEST_CASE("calls as docs/PROTOCOLS.md has them") {
  Fixture fixture;
  HttpPlatformLog log = fixture.Log();
  fixture.script.m_status = 201;
  fixture.script.m_body = R"({"offset": 7})";
  CHECK(log.Append(RecordId("id-1"), LeaveRecord{}) == LogOffset(7));
  CHECK(fixture.script.m_last_call == "POST /v1/streams/mesh/records? id-1");
  fixture.script.m_status = 200;
  fixture.script.m_body =
      R"({"first":2,"next":9,"records":[{"offset":8,"data":"id-2"}]})";
  const auto entries = log.Read(LogOffset(8), 5, milliseconds(20));
  CHECK(fixture.script.m_last_call ==
        "GET /v1/streams/mesh/records?from=8&max=5&wait_ms=20 ");
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].offset == LogOffset(8));
  CHECK(entries[0].id == RecordId("id-2"));
  CHECK(log.FirstOffset() == LogOffset(2));
  CHECK(log.NextOffset() == LogOffset(9));
}

TEST_CASE("a gap behind the retention names the first record kept") {
  Fixture fixture;
  fixture.script.m_status = 410;
  fixture.script.m_body = R"({"error":"retention-passed","first":42})";
  try {
    fixture.Log().Read(LogOffset(1), 5, milliseconds(0));
    FAIL("no error");
  } catch (const LogRetentionPassedError& error) {
    CHECK(error.first_kept() == LogOffset(42));
  }
}

// The writer must know whether its record may stand in the log: after a 503 or
// without a connection it does not; after a close, a 500 or nonsense it may,
// and a second append without looking would stand twice.
TEST_CASE("an append that failed tells whether it may have taken effect") {
  Fixture fixture;
  HttpPlatformLog log = fixture.Log();
  SUBCASE("refused") {
    fixture.script.m_status = 503;
    CHECK_THROWS_AS(log.Append(RecordId("a"), LeaveRecord{}),
                    LogUnavailableError);
  }
  SUBCASE("nobody listens") {
    fixture.server.Stop();
    CHECK_THROWS_AS(log.Append(RecordId("a"), LeaveRecord{}),
                    LogUnavailableError);
  }
  SUBCASE("closed without an answer") {
    fixture.script.m_closes = true;
    CHECK_THROWS_AS(log.Append(RecordId("a"), LeaveRecord{}),
                    LogAnswerLostError);
  }
  SUBCASE("failed inside the log") {
    fixture.script.m_status = 500;
    CHECK_THROWS_AS(log.Append(RecordId("a"), LeaveRecord{}),
                    LogAnswerLostError);
  }
  SUBCASE("nonsense") {
    fixture.script.m_status = 201;
    fixture.script.m_body = "{";
    CHECK_THROWS_AS(log.Append(RecordId("a"), LeaveRecord{}),
                    LogAnswerLostError);
  }
}

// The first append's answer comes after its time-out. If the connection were
// kept, the second append would take offset 1 for its own.
TEST_CASE("a late answer is never read as the next call's") {
  Fixture fixture;
  HttpPlatformLog log = fixture.Log(milliseconds(300));
  fixture.script.m_status = 201;
  fixture.script.m_body = R"({"offset": 1})";
  fixture.script.m_delay = milliseconds(600);
  CHECK_THROWS_AS(log.Append(RecordId("slow"), LeaveRecord{}),
                  LogAnswerLostError);
  std::this_thread::sleep_for(milliseconds(600));
  fixture.script.m_body = R"({"offset": 2})";
  CHECK(log.Append(RecordId("next"), LeaveRecord{}) == LogOffset(2));
}

}  // namespace citrongrade
