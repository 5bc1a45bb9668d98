#include "modules/transport/async/sent_request_ids.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace citrongrade {

namespace {

std::uint64_t HashOf(std::string_view request_id) {
  return XXH3_64bits(request_id.data(), request_id.size());
}

}  // namespace

void SentRequestIds::Add(std::string_view request_id) {
  assert(!is_full());
  m_hashes.push_back(HashOf(request_id));
}

bool SentRequestIds::Contains(std::string_view request_id) const {
  return std::find(m_hashes.begin(), m_hashes.end(), HashOf(request_id)) !=
         m_hashes.end();
}

}  // namespace citrongrade
