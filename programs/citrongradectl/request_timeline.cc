#include "programs/citrongradectl/request_timeline.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <istream>
#include <utility>

namespace citrongrade {

namespace {

constexpr std::string_view kTime = "time=";
constexpr std::string_view kLeftOut = " left_out=";

struct Meaning {
  std::string_view reason;
  std::string_view text;
};

// By the reasons that nodes log.
constexpr std::array kMeanings{
    Meaning{"none", "its target answered"},
    Meaning{"overloaded",
            "the target has more work waiting than it can do in the request's "
            "time; Retry-After says when that is worked off"},
    Meaning{"no-owner",
            "no target held the key, or the node asked did not know its owner "
            "yet: look for event=target-state and event=leads around that "
            "time"},
    Meaning{"lease-lost",
            "the key was moving to another target: look for "
            "event=keys-to-move"},
    Meaning{"owner-unreachable", "the owner's node could not be reached"},
    Meaning{"target-refused", "the target said that it did not run it"},
    Meaning{"target-unavailable",
            "the target is gone, leaves, or takes no connection"},
    Meaning{
        "target-timeout",
        "no answer came from the target, or its node, in its time: a line of "
        "request-run says which"},
    Meaning{"target-failed",
            "the connection to the target broke while the request ran"},
    Meaning{"truncated-answer",
            "the target's answer was not whole, or not its own"},
    Meaning{"deadline-passed",
            "its time was over before a target could run "
            "it"},
    Meaning{"cancelled", "its caller left"},
    Meaning{"quarantined", "earlier runs of it crashed targets"},
    Meaning{"missing-key", "the service is divided by key and it bore none"},
};

std::string_view MeaningOf(const std::string& reason) {
  for (const Meaning& meaning : kMeanings) {
    if (meaning.reason == reason)
      return meaning.text;
  }
  return "see the list of reasons in docs/OPERATIONS.md";
}

// Takes `name=value` or `name="value with spaces"` from the front of `rest`.
std::pair<std::string, std::string> TakeField(std::string_view& rest) {
  rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
  const std::size_t equals = rest.find('=');
  if (equals == std::string_view::npos) {
    rest = {};
    return {};
  }
  const std::string name(rest.substr(0, equals));
  rest.remove_prefix(equals + 1);
  const bool is_quoted = rest.starts_with('"');
  if (is_quoted)
    rest.remove_prefix(1);
  const std::size_t end =
      std::min(rest.find(is_quoted ? '"' : ' '), rest.size());
  const std::string value(rest.substr(0, end));
  rest.remove_prefix(std::min(end + (is_quoted ? 1 : 0), rest.size()));
  return {name, value};
}

std::uint64_t CountLeftOut(std::string_view line) {
  const std::size_t at = line.find(kLeftOut);
  if (at == std::string_view::npos)
    return 0;
  const std::string_view digits = line.substr(at + kLeftOut.size());
  std::uint64_t count = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), count);
  return count;
}

}  // namespace

std::string RequestTimeline::Entry::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

RequestTimeline::RequestTimeline(std::string request_id)
    : m_request_id(std::move(request_id)) {}

bool RequestTimeline::IsOurs(std::string_view line) const {
  const std::string wanted = " id=" + m_request_id;
  const std::size_t at = line.find(wanted);
  if (at == std::string_view::npos)
    return false;
  const std::string_view after = line.substr(at + wanted.size());
  return after.empty() || after.front() == ' ' || after.front() == '.';
}

void RequestTimeline::AddLog(const std::string& name, std::istream& lines) {
  std::string line;
  while (std::getline(lines, line)) {
    m_left_out += CountLeftOut(line);
    const std::size_t start = line.find(kTime);
    if (start == std::string::npos || !IsOurs(line))
      continue;
    Entry entry;
    entry.log = name;
    std::string_view rest = std::string_view(line).substr(start);
    while (!rest.empty())
      entry.fields.insert(TakeField(rest));
    entry.fields.erase("");
    entry.time = entry.Field("time");
    entry.event = entry.Field("event");
    m_entries.push_back(std::move(entry));
  }
  std::stable_sort(m_entries.begin(), m_entries.end(),
                   [](const Entry& left, const Entry& right) {
                     return left.time < right.time;
                   });
}

const RequestTimeline::Entry* RequestTimeline::FindLast(
    std::string_view event) const {
  const auto found = std::find_if(
      m_entries.rbegin(), m_entries.rend(), [&](const Entry& entry) {
        return entry.event == event && entry.Field("id") == m_request_id;
      });
  return found == m_entries.rend() ? nullptr : &*found;
}

std::string RequestTimeline::Verdict() const {
  if (m_entries.empty())
    return {};
  if (const Entry* unrouted = FindLast("request-unrouted")) {
    return "answered " + unrouted->Field("status") + " at " + unrouted->log +
           ": no route for it in configuration " + unrouted->Field("config");
  }
  if (const Entry* answered = FindLast("request-answered")) {
    return "answered " + answered->Field("status") + " after " +
           answered->Field("took_ms") + " ms and " + answered->Field("tries") +
           " tries at " + answered->log + ", outcome " +
           answered->Field("outcome") + ": " +
           std::string(MeaningOf(answered->Field("reason")));
  }
  for (const char* event : {"request-run", "request-try"}) {
    if (const Entry* last = FindLast(event)) {
      return "its answer is not in these logs; the last that is, at " +
             last->log + ", outcome " + last->Field("outcome") + ": " +
             std::string(MeaningOf(last->Field("reason")));
    }
  }
  return "only calls that its target made are in these logs";
}

}  // namespace citrongrade
