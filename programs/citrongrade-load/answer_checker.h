#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "programs/citrongrade-target-standin/deterministic_bytes.h"

namespace citrongrade {

// Checks that an answer is whole and the one to its own call, while it comes
// in. One for each answer that says it is done.
class AnswerChecker {
 public:
  // `expected_key`: as the target sees it, empty for an undivided service.
  // With `bytes` the answer is that many deterministic bytes, else JSON that
  // names the call and the hash of the request's body.
  AnswerChecker(std::string_view expected_key,
                std::string_view call_id,
                std::optional<std::uint64_t> bytes,
                std::string body_hash);

  void Add(std::string_view piece);

  // After the last piece: nothing, or what is wrong.
  std::optional<std::string> Fault() const;

 private:
  std::optional<std::string> JsonFault() const;

  std::string m_key;
  std::string m_call_id;
  std::optional<std::uint64_t> m_bytes;
  std::string m_body_hash;
  DeterministicBytes m_expected;
  std::uint64_t m_received = 0;
  bool m_differs = false;
  std::string m_json;
};

}  // namespace citrongrade
