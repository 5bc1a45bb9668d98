#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citrongrade {

// What several nodes logged about one request, in the order of their clocks,
// and what that says of its end.
//
// How to use it: AddLog() for each saved log, then entries() and Verdict().
// Lines of calls that the request's target made are part of it: their ids begin
// with the request's id and a dot.
//
// Nodes log at most so many lines a second for each event: what is missing here
// may have happened all the same, and left_out() says how many lines were left
// out of these logs. Kin: ExplainCommand prints it.
class RequestTimeline {
 public:
  struct Entry {
    // As logged: UTC, milliseconds.
    std::string time;
    // The log that it stands in.
    std::string log;
    std::string event;
    std::map<std::string, std::string> fields;

    // Empty when the line has no such field.
    std::string Field(const std::string& name) const;

    friend auto operator<=>(const Entry&, const Entry&) = default;
  };

  explicit RequestTimeline(std::string request_id);

  // Reads a log to its end. What precedes "time=" on a line is passed over.
  void AddLog(const std::string& name, std::istream& lines);

  const std::vector<Entry>& entries() const { return m_entries; }
  // Lines that the nodes left out for their rate, of all requests.
  std::uint64_t left_out() const { return m_left_out; }
  // In a sentence or two: how it ended, and why. Empty without entries.
  std::string Verdict() const;

 private:
  bool IsOurs(std::string_view line) const;
  const Entry* FindLast(std::string_view event) const;

  const std::string m_request_id;
  std::vector<Entry> m_entries;
  std::uint64_t m_left_out = 0;
};

}  // namespace citrongrade
