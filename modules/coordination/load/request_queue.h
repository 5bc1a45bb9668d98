#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/request_metadata.h"

namespace citrongrade {

// Queues the requests of one work class for one target, in fair order.
//
// Load pattern: a few callers, or a few keys, cause most of the load. In order
// of arrival each caller gets a share in proportion to what it sends: one that
// sends ten times its share takes ten elevenths of the target.
//
// Self-clocked fair queueing: each request gets a finish tag, at least one cost
// unit after the tag of the caller's previous request, and at least a fraction
// of a unit after that of its key's previous request. The request with the
// lowest tag is served first, and the tag served last is where the tags of new
// callers start. A caller that sends more only moves its own tags back.
// Start-time tags were tried first: new callers were served before any caller
// with two queued requests, for as long as new callers arrived (saturation-1x:
// p99 1400 ms).
//
// `key_weight` is the number of callers that one key counts as: a key that many
// callers use is served well, but can't take the whole target. When the bound
// on count or bytes is reached, the request with the highest tag is dropped, be
// it the new or a queued one, so that the caller furthest over its share pays.
//
// Thread-confined. AdmissionController keeps track of the running requests.
class RequestQueue {
 public:
  struct Parameters {
    std::size_t max_count = 2048;
    std::size_t max_bytes = std::size_t{16} << 20U;
    double key_weight = 8;

    friend auto operator<=>(const Parameters&, const Parameters&) = default;
  };

  struct PushResult {
    bool accepted = false;
    // Queued requests that were dropped for the new one; never contains the new
    // one.
    std::vector<RequestMetadata> evicted;
    // True if the bound on bytes applied, false if the bound on count did.
    bool limited_by_bytes = false;

    friend auto operator<=>(const PushResult&, const PushResult&) = default;
  };

  explicit RequestQueue(const Parameters& parameters);
  ~RequestQueue();
  RequestQueue(const RequestQueue&) = delete;
  RequestQueue& operator=(const RequestQueue&) = delete;

  // Number of queued requests that would be served before this one.
  std::size_t RankOf(const RequestMetadata& request) const;

  // Whether the caller has more than twice the mean number of queued requests,
  // or the key `key_weight` times as many. Never true while at most two callers
  // have requests queued, since one of them easily has most of a short queue.
  bool IsOverFairShare(const RequestMetadata& request) const;

  PushResult Push(const RequestMetadata& request, Clock::TimePoint now);

  struct QueuedRequest {
    RequestMetadata request;
    Clock::TimePoint enqueued_at;

    friend auto operator<=>(const QueuedRequest&,
                            const QueuedRequest&) = default;
  };

  std::optional<QueuedRequest> Pop();

  // Returns false if the request isn't queued.
  bool Cancel(RequestTicket ticket);

  // Removes and returns the requests that can't finish in time. The request at
  // rank r is expected to end at `first_end` + r * `per_rank`.
  std::vector<RequestMetadata> TakeUnmeetable(Clock::TimePoint first_end,
                                              Clock::Duration per_rank);

  std::vector<RequestMetadata> TakeAll();

  std::size_t size() const;
  std::size_t bytes() const;
  bool empty() const { return size() == 0; }

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace citrongrade
