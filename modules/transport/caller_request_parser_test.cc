#include "modules/transport/caller_request_parser.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "modules/coordination/routing_table.h"
#include "modules/state/service_settings.h"
#include "modules/transport/request_refused_error.h"

namespace citrongrade {

namespace {

const ServiceId kService{WorkspaceName("port"), ServiceName("berth-board")};

class FakeTable final : public RoutingTable {
 public:
  bool IsReady() const override { return ready; }
  std::shared_ptr<const ServiceSettings> FindService(
      const ServiceId& service) const override {
    return service == kService
               ? std::make_shared<const ServiceSettings>(settings)
               : nullptr;
  }
  std::optional<Route> FindOwner(const ServiceId& /*service*/,
                                 std::string_view /*slot_key*/) const override {
    return std::nullopt;
  }
  std::vector<Route> FindMembers(const ServiceId& /*service*/) const override {
    return {};
  }

  bool ready = true;
  ServiceSettings settings;
};

class Fixture {
 public:
  Fixture() {
    table.settings.id = kService;
    table.settings.key_rule = {KeyRule::Source::kPathPart, "", 1};
    caller.method = "POST";
    caller.path = "/port/berth-board/berths/b%207/lines";
    caller.remote_address = "10.0.0.1:5000";
  }

  CallerRequestParser::Parsed Parse() const {
    return CallerRequestParser(table).Parse(caller);
  }

  RequestErrorCode Refusal() const {
    try {
      Parse();
    } catch (const RequestRefusedError& error) {
      CHECK(error.refusal().outcome == RequestOutcome::kNotRun);
      return *error.refusal().error;
    }
    FAIL("it was not refused");
    return RequestErrorCode::kCancelled;
  }

  FakeTable table;
  CallerRequest caller;
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "keys are found by the service's rule") {
  CHECK(Parse().request.key == "b 7");
  table.settings.key_rule = {KeyRule::Source::kQueryField, "berth", 0};
  caller.query = "a=1&berth=b%2F7&berths=2";
  CHECK(Parse().request.key == "b/7");
  table.settings.key_rule = {KeyRule::Source::kHeader, "X-Berth", 0};
  caller.headers = {{"x-berth", "7"}};
  CHECK(Parse().request.key == "7");
}

TEST_CASE_FIXTURE(Fixture, "a key that could be read in two ways is refused") {
  table.settings.key_rule = {KeyRule::Source::kHeader, "X-Berth", 0};
  caller.headers = {{"X-Berth", "7"}, {"X-Berth", "8"}};
  CHECK(Refusal() == RequestErrorCode::kMalformedRequest);
  table.settings.key_rule = {KeyRule::Source::kQueryField, "berth", 0};
  caller.query = "berth=7&berth=8";
  CHECK(Refusal() == RequestErrorCode::kMissingKey);
}

TEST_CASE_FIXTURE(Fixture, "a key can't smuggle a header to the target") {
  caller.path = "/port/berth-board/berths/a%0d%0aCitrongrade-Epoch:%209";
  CHECK(Refusal() == RequestErrorCode::kMalformedRequest);
}

TEST_CASE_FIXTURE(Fixture, "callers can't set the system's own headers") {
  caller.headers = {{"Citrongrade-Epoch", "9"},
                    {"citrongrade-slot", "1"},
                    {"Connection", "close"},
                    {"X-Kept", "yes"}};
  CHECK(Parse().request.headers == std::vector<HeaderField>{{"X-Kept", "yes"}});
}

TEST_CASE_FIXTURE(Fixture, "a method that may not run twice is protected") {
  caller.headers = {{"Idempotency-Key", "dispatch-1"}};
  const ForwardedRequest request = Parse().request;
  CHECK_FALSE(request.is_idempotent);
  CHECK(request.protected_id.has_value());
  caller.path = "/port/berth-board/berths/b8";
  CHECK(Parse().request.protected_id != request.protected_id);
  caller.method = "GET";
  CHECK_FALSE(Parse().request.protected_id.has_value());
}

TEST_CASE_FIXTURE(Fixture, "an undivided service's id decides its owner") {
  table.settings.key_rule = {};
  CHECK(Parse().slot_key.empty());
  caller.headers = {{"Idempotency-Key", "upload-1"}};
  CHECK(Parse().slot_key == "upload-1");
}

TEST_CASE_FIXTURE(Fixture,
                  "deadlines: default, stated, and not above the top") {
  CHECK(Parse().request.deadline == table.settings.default_deadline);
  caller.headers = {{"Citrongrade-Deadline-Ms", "250"}};
  CHECK(Parse().request.deadline == std::chrono::milliseconds(250));
  caller.headers = {{"Citrongrade-Deadline-Ms", "999999999"}};
  CHECK(Parse().request.deadline == table.settings.max_deadline);
}

TEST_CASE_FIXTURE(Fixture, "a node that still reads the log refuses") {
  table.ready = false;
  CHECK(Refusal() == RequestErrorCode::kNodeNotReady);
}

}  // namespace citrongrade
