#include "programs/citrongrade-load/answer_checker.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace citrongrade {

namespace {

constexpr std::size_t kMaxJsonBytes = 65536;

}  // namespace

AnswerChecker::AnswerChecker(std::string_view expected_key,
                             std::string_view call_id,
                             std::optional<std::uint64_t> bytes,
                             std::string body_hash)
    : m_key(expected_key),
      m_call_id(call_id),
      m_bytes(bytes),
      m_body_hash(std::move(body_hash)),
      m_expected(expected_key, call_id) {}

void AnswerChecker::Add(std::string_view piece) {
  m_received += piece.size();
  if (m_bytes)
    m_differs = m_differs || m_expected.Take(piece.size()) != piece;
  else if (m_json.size() < kMaxJsonBytes)
    m_json.append(piece);
}

std::optional<std::string> AnswerChecker::Fault() const {
  if (!m_bytes)
    return JsonFault();
  if (m_differs)
    return "another call's answer";
  if (m_received != *m_bytes)
    return "truncated answer";
  return std::nullopt;
}

std::optional<std::string> AnswerChecker::JsonFault() const {
  const auto body = nlohmann::json::parse(m_json, nullptr, false);
  if (!body.is_object())
    return "truncated answer";
  if (body.value("call_id", "") != m_call_id || body.value("key", "") != m_key)
    return "another call's answer";
  if (body.value("body_hash", "") != m_body_hash)
    return "another body was run";
  return std::nullopt;
}

}  // namespace citrongrade
