#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace citrongrade {

// Ids of attempts, by which nodes, targets and logs know them: a random part
// for each process and a count. Thread-safe.
class RequestIdGenerator {
 public:
  RequestIdGenerator();

  std::string Next();

 private:
  const std::string m_prefix;
  std::atomic<std::uint64_t> m_next = 1;
};

}  // namespace citrongrade
