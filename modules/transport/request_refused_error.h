#pragma once

#include <stdexcept>
#include <utility>

#include "modules/protocol/answer_head.h"

namespace citrongrade {

// A request is refused before anything was done for it; carries the answer.
class RequestRefusedError : public std::runtime_error {
 public:
  explicit RequestRefusedError(AnswerHead refusal)
      : std::runtime_error(refusal.message), m_refusal(std::move(refusal)) {}

  const AnswerHead& refusal() const { return m_refusal; }

 private:
  AnswerHead m_refusal;
};

}  // namespace citrongrade
