#pragma once

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace citrongrade {

// An endless sequence of letters, fixed by a key and a call: an answer that
// belongs to another call, or lacks a piece, differs. Used by the target to
// answer and by the load program to check.
class DeterministicBytes {
 public:
  DeterministicBytes(std::string_view key, std::string_view call_id)
      : m_state(SeedOf(key, call_id)) {}

  // The next bytes of the sequence.
  void Fill(std::span<char> buffer) {
    for (char& letter : buffer) {
      if (m_left == 0) {
        m_word = NextWord();
        m_left = sizeof(m_word);
      }
      letter = static_cast<char>('a' + (m_word & 0x0f));
      m_word >>= 8;
      --m_left;
    }
  }

  std::string Take(std::size_t count) {
    std::string bytes(count, '\0');
    Fill(bytes);
    return bytes;
  }

 private:
  static std::uint64_t SeedOf(std::string_view key, std::string_view call_id) {
    std::string text(key);
    text.append("\n").append(call_id);
    return XXH3_64bits(text.data(), text.size());
  }

  // SplitMix64.
  std::uint64_t NextWord() {
    m_state += 0x9e3779b97f4a7c15U;
    std::uint64_t word = m_state;
    word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9U;
    word = (word ^ (word >> 27)) * 0x94d049bb133111ebU;
    return word ^ (word >> 31);
  }

  std::uint64_t m_state;
  std::uint64_t m_word = 0;
  std::size_t m_left = 0;
};

}  // namespace citrongrade
