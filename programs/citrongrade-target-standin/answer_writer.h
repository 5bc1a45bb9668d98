#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace citrongrade {

class HttpExchange;
class TargetControlStore;
struct RunReport;
struct WorkRequest;

// Writes the answers to work, and the misbehaviours that touch answers. One for
// all threads.
class AnswerWriter {
 public:
  explicit AnswerWriter(TargetControlStore& controls) : m_controls(controls) {}

  // Proved that it did not run.
  static void Refuse(HttpExchange& exchange,
                     int status,
                     std::string_view error);
  // Began and did not end: cancelled, or past its deadline.
  static void GiveUp(HttpExchange& exchange,
                     int status,
                     std::string_view error);

  // The whole answer of a run: `bytes=N` in the query asks for that many
  // deterministic bytes, else JSON says what was run. `body_hash` is of the
  // request's body.
  void Complete(HttpExchange& exchange,
                const WorkRequest& request,
                const RunReport& run,
                std::uint64_t body_bytes,
                const std::string& body_hash);

 private:
  void SendBytes(HttpExchange& exchange,
                 const WorkRequest& request,
                 std::uint64_t count);

  TargetControlStore& m_controls;
};

}  // namespace citrongrade
