#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/load_identifiers.h"
#include "modules/coordination/load/request_metadata.h"

namespace citrongrade {

// Requests of one class that wait for one target, in fair order.
//
// Load pattern: a few callers, or a few keys, that take most of the load. First
// come first served gives each caller a share in proportion to what it sends:
// one that sends ten times its share takes ten elevenths of the target.
//
// Self-clocked fair queueing: each request gets a finish tag, one step after
// the caller's one before it, and at least a fraction of a step after its key's
// one before it; the lowest tag goes first, and the tag that went last is where
// newcomers start. A caller that sends more only moves its own tags back.
// Start-time tags were tried first: newcomers went before whoever had two
// waiting, for as long as there were newcomers (saturation-1x: p99 1400 ms).
// `callers_per_key` says how many callers' worth of work one key may have: a
// busy engagement serves many auditors, but doesn't take the target.
// Bounds: when count or bytes are reached the highest tag goes, be it the new
// request or one that waits, so whoever is furthest over its share pays.
//
// Thread-confined. Does not know what runs; kin: AdmissionController.
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
    // Made room for the new one; never contains the new one.
    std::vector<RequestMetadata> evicted;
    // True when the bound on bytes decided, false for the one on count.
    bool limited_by_bytes = false;

    friend auto operator<=>(const PushResult&, const PushResult&) = default;
  };

  explicit RequestQueue(const Parameters& parameters);
  ~RequestQueue();
  RequestQueue(const RequestQueue&) = delete;
  RequestQueue& operator=(const RequestQueue&) = delete;

  // How many of those that wait would go before this one.
  std::size_t RankOf(const RequestMetadata& facts) const;

  // Whether its caller or its key already has more than twice the mean share of
  // what waits. Not for a queue that few wait in: all have too much of that.
  bool IsOverFairShare(const RequestMetadata& facts) const;

  PushResult Push(const RequestMetadata& facts, Clock::TimePoint now);

  struct QueuedRequest {
    RequestMetadata facts;
    Clock::TimePoint enqueued_at;

    friend auto operator<=>(const QueuedRequest&,
                            const QueuedRequest&) = default;
  };

  std::optional<QueuedRequest> Pop();

  // False when it does not wait here.
  bool Cancel(RequestTicket ticket);

  // Takes out all that can't be finished in time. The request at rank r is
  // expected to end at `first_end` + r * `per_rank`.
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
