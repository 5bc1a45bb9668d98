#include "modules/transport/mesh/forward_result.h"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "modules/protocol/malformed_message_error.h"
#include "modules/transport/mesh/target_notice_header.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// The value is "answered", or four numbers: whether the request didn't run, the
// error code, the retry time in ms, and whether the request reached a target.
constexpr std::string_view kHeader = "Mesh-Result";
constexpr std::string_view kAnswered = "answered";
// Time spent in each stage, in ms. A node of another version may omit it.
constexpr std::string_view kTimesHeader = "Mesh-Times";
constexpr int kNotRunStatus = 503;
constexpr int kUnknownStatus = 502;
constexpr int kLastError =
    static_cast<int>(RequestErrorCode::kRetryBudgetSpent);

int ReadNumber(std::string_view& text) {
  int number = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (result.ec != std::errc())
    throw MalformedMessageError("not a result of another node");
  text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()));
  if (!text.empty())
    text.remove_prefix(1);
  return number;
}

void WriteTimes(const ForwardTimings& times, std::vector<HttpHeader>& headers) {
  std::string text;
  for (const milliseconds time : {times.transit, times.body, times.queue,
                                  times.target_connect, times.target}) {
    text += text.empty() ? "" : " ";
    text += std::to_string(time.count());
  }
  headers.push_back({std::string(kTimesHeader), std::move(text)});
}

ForwardTimings TakeTimes(std::vector<HttpHeader>& headers) {
  ForwardTimings times;
  const std::optional<std::string> value = TakeHeader(headers, kTimesHeader);
  if (!value)
    return times;
  std::string_view text = *value;
  for (milliseconds* time : {&times.transit, &times.body, &times.queue,
                             &times.target_connect, &times.target})
    *time = milliseconds(ReadNumber(text));
  return times;
}

}  // namespace

ForwardResult ForwardResult::Answered(HttpResponse response) {
  ForwardResult result;
  result.outcome = RequestOutcome::kDone;
  result.reached_target = true;
  result.response = std::move(response);
  return result;
}

ForwardResult ForwardResult::NotRun(RequestErrorCode error,
                                    std::string message,
                                    std::chrono::milliseconds retry_after) {
  ForwardResult result;
  result.outcome = RequestOutcome::kNotRun;
  result.error = error;
  result.message = std::move(message);
  result.retry_after = retry_after;
  return result;
}

ForwardResult ForwardResult::Unknown(RequestErrorCode error,
                                     std::string message) {
  ForwardResult result;
  result.outcome = RequestOutcome::kUnknown;
  result.reached_target = true;
  result.error = error;
  result.message = std::move(message);
  return result;
}

HttpResponse ForwardResult::ToHttpResponse() const {
  if (has_answer()) {
    HttpResponse http_response = response;
    http_response.head.headers.push_back(
        {std::string(kHeader), std::string(kAnswered)});
    WriteTimes(times, http_response.head.headers);
    WriteTargetNotice(notice, http_response.head.headers);
    return http_response;
  }
  HttpResponse http_response;
  const bool not_run = outcome == RequestOutcome::kNotRun;
  http_response.head.status = not_run ? kNotRunStatus : kUnknownStatus;
  http_response.head.headers.push_back(
      {std::string(kHeader), std::to_string(not_run ? 1 : 0) + " " +
                                 std::to_string(static_cast<int>(*error)) +
                                 " " + std::to_string(retry_after.count()) +
                                 " " + std::to_string(reached_target ? 1 : 0)});
  WriteTimes(times, http_response.head.headers);
  WriteTargetNotice(notice, http_response.head.headers);
  http_response.body = message;
  return http_response;
}

ForwardResult ForwardResult::FromHttpResponse(HttpResponse response) {
  const std::optional<std::string> value =
      TakeHeader(response.head.headers, kHeader);
  if (!value)
    throw MalformedMessageError("an answer without a result");
  const ForwardTimings times = TakeTimes(response.head.headers);
  const std::optional<TargetNotice> notice =
      TakeTargetNotice(response.head.headers);
  if (*value == kAnswered) {
    ForwardResult answered = Answered(std::move(response));
    answered.times = times;
    answered.notice = notice;
    return answered;
  }
  std::string_view text = *value;
  const bool not_run = ReadNumber(text) != 0;
  const int error = ReadNumber(text);
  const int retry_ms = ReadNumber(text);
  const bool has_arrived = ReadNumber(text) != 0;
  if (error < 0 || error > kLastError)
    throw MalformedMessageError("not an error of another node");
  ForwardResult result;
  result.outcome = not_run ? RequestOutcome::kNotRun : RequestOutcome::kUnknown;
  result.error = static_cast<RequestErrorCode>(error);
  result.message = std::move(response.body);
  result.retry_after = std::chrono::milliseconds(retry_ms);
  result.reached_target = has_arrived;
  result.times = times;
  result.notice = notice;
  return result;
}

}  // namespace citrongrade
