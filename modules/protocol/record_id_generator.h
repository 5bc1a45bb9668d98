#pragma once

#include <random>

#include "modules/state/identifiers.h"

namespace citrongrade {

// Makes the ids of log records: 128 random bits in hex, so that writers which
// know nothing of each other don't choose the same. Not thread-safe; not for
// secrets.
class RecordIdGenerator {
 public:
  // Seeded by the machine's source of randomness.
  RecordIdGenerator();
  // A chosen sequence, for tests.
  explicit RecordIdGenerator(std::mt19937_64 engine);

  RecordId Next();

 private:
  std::mt19937_64 m_engine;
};

}  // namespace citrongrade
