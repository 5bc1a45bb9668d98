#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace citrongrade {

// The ids of the requests that a connection has carried.
//
// A peer may send a second response to an earlier request, and its id is all
// that identifies it. On a connection that carries an id twice, the second
// response to the first request passes for the response to the second one.
class SentRequestIds {
 public:
  // A connection that has carried this many is retired. Bounds its memory to
  // 2 KiB.
  static constexpr std::size_t kMaxCount = 256;

  // Must not be called once is_full().
  void Add(std::string_view request_id);
  // May return true for an id that was not added, but never false for one that
  // was.
  bool Contains(std::string_view request_id) const;
  bool is_full() const { return m_hashes.size() >= kMaxCount; }
  std::size_t count() const { return m_hashes.size(); }

 private:
  std::vector<std::uint64_t> m_hashes;
};

}  // namespace citrongrade
