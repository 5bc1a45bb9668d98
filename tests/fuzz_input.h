#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace citrongrade {

// Makes bad input out of good input: bytes and lines of samples changed,
// repeated, cut, swapped and mixed. The same seed gives the same texts on every
// machine, so only the engine is used, and none of the library's
// distributions, which differ from one library to another.
class FuzzInput {
 public:
  FuzzInput(std::uint64_t seed, std::vector<std::string> samples)
      : m_engine(seed), m_samples(std::move(samples)) {}

  std::string Next() {
    std::string text = Pick(m_samples);
    const std::size_t edits = 1 + Below(kMaxEdits);
    for (std::size_t i = 0; i < edits; ++i) {
      Edit(text);
    }
    return text;
  }

  std::size_t Below(std::size_t bound) {
    return static_cast<std::size_t>(m_engine() % bound);
  }

 private:
  static constexpr std::size_t kMaxEdits = 4;
  static constexpr std::size_t kMaxBytes = 4'096;
  static constexpr std::size_t kMaxRepeats = 300;

  const std::string& Pick(const std::vector<std::string>& from) {
    return from[Below(from.size())];
  }

  std::string Token() {
    static const auto& tokens =
        *new std::vector<std::string>{"{",
                                      "}",
                                      "[",
                                      "]",
                                      ":",
                                      ",",
                                      "\"",
                                      "'",
                                      "-1",
                                      "0",
                                      "1e999",
                                      "18446744073709551616",
                                      "null",
                                      "true",
                                      "&a",
                                      "*a",
                                      "!!int",
                                      "<<: *a",
                                      "---\n",
                                      "...\n",
                                      "# ",
                                      "\t",
                                      "\r\n",
                                      "|\n",
                                      "? ",
                                      "\xff",
                                      "\xc3",
                                      "\\u0000",
                                      "\\ud800",
                                      std::string(1, '\0'),
                                      "9223372036854775807",
                                      "99999999h",
                                      "0.5",
                                      "%TAG",
                                      ">-",
                                      "\xef\xbb\xbf"};
    return Pick(tokens);
  }

  // A place in the text, its end included.
  std::size_t Place(const std::string& text) { return Below(text.size() + 1); }

  void Edit(std::string& text) {
    const std::size_t at = Place(text);
    switch (Below(7)) {
      case 0:
        if (at < text.size()) {
          text[at] = static_cast<char>(Below(256));
        }
        break;
      case 1:
        text.insert(at, Token());
        break;
      case 2:
        text.erase(at, 1 + Below(16));
        break;
      case 3:
        text.resize(at);
        break;
      case 4:
        text.insert(at, text.substr(Place(text), 1 + Below(64)));
        break;
      case 5:
        text.insert(at, Pick(m_samples).substr(0, 1 + Below(200)));
        break;
      default:
        Repeat(text, at);
        break;
    }
    if (text.size() > kMaxBytes) {
      text.resize(kMaxBytes);
    }
  }

  void Repeat(std::string& text, std::size_t at) {
    const std::string token = Token();
    std::string repeated;
    const std::size_t count = Below(kMaxRepeats);
    for (std::size_t i = 0; i < count; ++i) {
      repeated += token;
    }
    text.insert(at, repeated);
  }

  std::mt19937_64 m_engine;
  std::vector<std::string> m_samples;
};

}  // namespace citrongrade
