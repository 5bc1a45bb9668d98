#include "modules/protocol/record_id_generator.h"

#include <array>
#include <cstdint>
#include <string>

namespace citrongrade {

namespace {

std::mt19937_64 SeededByMachine() {
  constexpr std::size_t kSeedWords = 8;
  std::random_device device;
  std::array<std::uint32_t, kSeedWords> words{};
  for (std::uint32_t& word : words) {
    word = device();
  }
  std::seed_seq seed(words.begin(), words.end());
  return std::mt19937_64(seed);
}

void AppendHex(std::string& text, std::uint64_t bits) {
  constexpr const char* kDigits = "0123456789abcdef";
  for (int shift = 60; shift >= 0; shift -= 4) {
    text.push_back(kDigits[(bits >> shift) & 0xf]);
  }
}

}  // namespace

RecordIdGenerator::RecordIdGenerator() : m_engine(SeededByMachine()) {}

RecordIdGenerator::RecordIdGenerator(std::mt19937_64 engine)
    : m_engine(engine) {}

RecordId RecordIdGenerator::Next() {
  std::string text;
  AppendHex(text, m_engine());
  AppendHex(text, m_engine());
  return RecordId(std::move(text));
}

}  // namespace citrongrade
