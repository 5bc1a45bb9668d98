#include "modules/transport/mesh/work_result.h"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "modules/protocol/malformed_message_error.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;

// "answered", or outcome, number of the error, retry time in ms, and whether
// the request came to a target.
constexpr std::string_view kHeader = "Mesh-Result";
constexpr std::string_view kAnswered = "answered";
// Where the try spent its time, in ms; a node of another version may leave it
// out.
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

void WriteTimes(const WorkTimes& times, std::vector<HttpHeader>& headers) {
  std::string text;
  for (const milliseconds time :
       {times.way, times.body, times.queue, times.door, times.target}) {
    text += text.empty() ? "" : " ";
    text += std::to_string(time.count());
  }
  headers.push_back({std::string(kTimesHeader), std::move(text)});
}

WorkTimes TakeTimes(std::vector<HttpHeader>& headers) {
  WorkTimes times;
  const std::optional<std::string> value = TakeHeader(headers, kTimesHeader);
  if (!value)
    return times;
  std::string_view text = *value;
  for (milliseconds* time :
       {&times.way, &times.body, &times.queue, &times.door, &times.target})
    *time = milliseconds(ReadNumber(text));
  return times;
}

}  // namespace

WorkResult WorkResult::Answered(HttpResponse response) {
  WorkResult result;
  result.outcome = RequestOutcome::kDone;
  result.has_arrived = true;
  result.response = std::move(response);
  return result;
}

WorkResult WorkResult::NotRun(RequestErrorCode error,
                              std::string message,
                              std::chrono::milliseconds retry_after) {
  WorkResult result;
  result.outcome = RequestOutcome::kNotRun;
  result.error = error;
  result.message = std::move(message);
  result.retry_after = retry_after;
  return result;
}

WorkResult WorkResult::Unknown(RequestErrorCode error, std::string message) {
  WorkResult result;
  result.outcome = RequestOutcome::kUnknown;
  result.has_arrived = true;
  result.error = error;
  result.message = std::move(message);
  return result;
}

HttpResponse WorkResult::ToHop() const {
  if (has_answer()) {
    HttpResponse hop = response;
    hop.head.headers.push_back({std::string(kHeader), std::string(kAnswered)});
    WriteTimes(times, hop.head.headers);
    return hop;
  }
  HttpResponse hop;
  const bool not_run = outcome == RequestOutcome::kNotRun;
  hop.head.status = not_run ? kNotRunStatus : kUnknownStatus;
  hop.head.headers.push_back(
      {std::string(kHeader), std::to_string(not_run ? 1 : 0) + " " +
                                 std::to_string(static_cast<int>(*error)) +
                                 " " + std::to_string(retry_after.count()) +
                                 " " + std::to_string(has_arrived ? 1 : 0)});
  WriteTimes(times, hop.head.headers);
  hop.body = message;
  return hop;
}

WorkResult WorkResult::FromHop(HttpResponse response) {
  const std::optional<std::string> value =
      TakeHeader(response.head.headers, kHeader);
  if (!value)
    throw MalformedMessageError("an answer without a result");
  const WorkTimes times = TakeTimes(response.head.headers);
  if (*value == kAnswered) {
    WorkResult answered = Answered(std::move(response));
    answered.times = times;
    return answered;
  }
  std::string_view text = *value;
  const bool not_run = ReadNumber(text) != 0;
  const int error = ReadNumber(text);
  const int retry_ms = ReadNumber(text);
  const bool has_arrived = ReadNumber(text) != 0;
  if (error < 0 || error > kLastError)
    throw MalformedMessageError("not an error of another node");
  WorkResult result;
  result.outcome = not_run ? RequestOutcome::kNotRun : RequestOutcome::kUnknown;
  result.error = static_cast<RequestErrorCode>(error);
  result.message = std::move(response.body);
  result.retry_after = std::chrono::milliseconds(retry_ms);
  result.has_arrived = has_arrived;
  result.times = times;
  return result;
}

}  // namespace citrongrade
