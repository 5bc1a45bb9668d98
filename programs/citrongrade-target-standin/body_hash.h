#pragma once

#include <xxhash.h>

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <string_view>

namespace citrongrade {

// XXH3 of a body that comes in pieces.
class BodyHash {
 public:
  BodyHash() : m_state(XXH3_createState()) { XXH3_64bits_reset(m_state.get()); }

  void Add(std::string_view bytes) {
    XXH3_64bits_update(m_state.get(), bytes.data(), bytes.size());
  }

  // Of all bytes so far, as 16 hexadecimal digits.
  std::string Hex() const {
    char text[17] = {};
    std::snprintf(
        text, sizeof(text), "%016llx",
        static_cast<unsigned long long>(XXH3_64bits_digest(m_state.get())));
    return text;
  }

  static std::string HexOf(std::string_view bytes) {
    BodyHash hash;
    hash.Add(bytes);
    return hash.Hex();
  }

 private:
  struct Freer {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };

  std::unique_ptr<XXH3_state_t, Freer> m_state;
};

}  // namespace citrongrade
