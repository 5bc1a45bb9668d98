#include "programs/citrongradectl/request_timeline.h"

#include <doctest/doctest.h>

#include <sstream>

namespace citrongrade {

namespace {

constexpr const char* kEntryNode =
    "time=2026-01-02T03:04:05.120 level=info event=request-try id=ab1 "
    "service=s key=7 node=10.0.0.2:7240 outcome=not-run reason=no-owner "
    "took_ms=4 view=3 left_out=2 detail=\"the target does not hold the key\"\n"
    "time=2026-01-02T03:04:05.320 level=info event=request-answered id=ab1 "
    "route=r service=s status=503 outcome=not-run reason=overloaded tries=2 "
    "took_ms=204 retry_after_ms=90 config=4 left_out=0\n"
    "time=2026-01-02T03:04:05.320 level=info event=request-answered id=ab12 "
    "route=r service=s status=200 outcome=done reason=none tries=1 "
    "took_ms=20 retry_after_ms=0 config=4 left_out=0\n";

// As collected with the node's name in front.
constexpr const char* kTargetNode =
    "node-2 time=2026-01-02T03:04:05.119 level=info event=request-run id=ab1 "
    "service=s key=7 from=10.0.0.1 outcome=not-run reason=no-owner "
    "time_left_ms=90 left_out=1 detail=\"the target does not hold the key\"\n";

RequestTimeline Read(const std::string& id) {
  RequestTimeline timeline(id);
  std::istringstream entry(kEntryNode);
  std::istringstream target(kTargetNode);
  timeline.AddLog("node-1", entry);
  timeline.AddLog("node-2", target);
  return timeline;
}

}  // namespace

TEST_CASE("the lines of a request stand in order, whichever node wrote them") {
  const RequestTimeline timeline = Read("ab1");
  REQUIRE(timeline.entries().size() == 3);
  CHECK(timeline.entries()[0].log == "node-2");
  CHECK(timeline.entries()[0].event == "request-run");
  CHECK(timeline.entries()[1].Field("detail") ==
        "the target does not hold the key");
  CHECK(timeline.entries()[2].Field("status") == "503");
  CHECK(timeline.left_out() == 3);
}

TEST_CASE("the verdict names how the request ended and why") {
  const std::string verdict = Read("ab1").Verdict();
  CHECK(verdict.starts_with("answered 503 after 204 ms and 2 tries at node-1"));
  CHECK(verdict.find("more work waiting") != std::string::npos);
  CHECK(Read("ab12").Verdict().find("its target answered") !=
        std::string::npos);
}

TEST_CASE("without the line of its end the verdict says so") {
  RequestTimeline timeline("ab1");
  std::istringstream target(kTargetNode);
  timeline.AddLog("node-2", target);
  CHECK(timeline.Verdict().starts_with("its answer is not in these logs"));
  CHECK(Read("nobody").Verdict().empty());
}

TEST_CASE("calls of the request's target belong to it, other ids do not") {
  RequestTimeline timeline("ab1");
  std::istringstream lines(
      "time=2026-01-02T03:04:05.119 event=request-run id=ab1.77 outcome=x\n"
      "time=2026-01-02T03:04:05.119 event=request-run id=ab17 outcome=x\n"
      "time= event=\n"
      "no line of a log at all id=ab1\n");
  timeline.AddLog("n", lines);
  REQUIRE(timeline.entries().size() == 1);
  CHECK(timeline.entries()[0].Field("id") == "ab1.77");
  CHECK(timeline.Verdict().starts_with("only calls"));
}

}  // namespace citrongrade
