#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace citrongrade {

// A promise of the system's that one call shows to be broken.
struct BrokenPromise {
  enum class Kind : std::uint8_t {
    // The caller got another's answer, or part of its own as the whole.
    kWrongAnswer,
    // A protected call ran more than once.
    kDoubleRun,
    // Every attempt was refused as not run, and it ran.
    kNotRunRan,
    // A protected call was answered as done, and never ran.
    kDoneWithoutRun,
  };

  Kind kind = Kind::kWrongAnswer;
  std::string call_id;
  std::string detail;

  friend auto operator<=>(const BrokenPromise&, const BrokenPromise&) = default;
};

constexpr std::string_view ToString(BrokenPromise::Kind kind) {
  switch (kind) {
    case BrokenPromise::Kind::kWrongAnswer:
      return "wrong-answer";
    case BrokenPromise::Kind::kDoubleRun:
      return "double-run";
    case BrokenPromise::Kind::kNotRunRan:
      return "not-run-ran";
    case BrokenPromise::Kind::kDoneWithoutRun:
      return "done-without-run";
  }
  return "unknown";
}

}  // namespace citrongrade
