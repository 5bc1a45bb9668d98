#include "modules/coordination/load/request_queue.h"

#include <algorithm>
#include <cassert>
#include <compare>
#include <cstdint>
#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <functional>
#include <unordered_map>
#include <utility>

namespace citrongrade {

namespace {

// The cost of a request grows with its size; all requests below this size cost
// one unit.
constexpr double kBytesPerCostUnit = 1024.0 * 1024.0;

// A caller with more than this many times the mean of queued requests is over
// its share.
constexpr double kOverShareFactor = 2;

// Position in the queue: by finish tag, then by arrival.
struct QueuePosition {
  double finish_tag = 0;
  std::uint64_t arrival = 0;

  friend auto operator<=>(const QueuePosition&, const QueuePosition&) = default;
};

// Fair queueing state of one caller or key.
struct Flow {
  // Start tag of its next request, unless the virtual time has passed it.
  double next_start_tag = 0;
  std::size_t waiting = 0;
};

struct QueueEntry {
  RequestQueue::QueuedRequest waiting;
  double start_tag = 0;
  double key_finish_tag = 0;
};

double CostOf(const RequestMetadata& request) {
  return std::max(1.0, static_cast<double>(request.bytes) / kBytesPerCostUnit);
}

// An ordered map that also gives the rank of a position in logarithmic time.
using OrderedEntries =
    __gnu_pbds::tree<QueuePosition,
                     QueueEntry,
                     std::less<>,
                     __gnu_pbds::rb_tree_tag,
                     __gnu_pbds::tree_order_statistics_node_update>;

template <typename Hash>
class FlowTable {
 public:
  explicit FlowTable(std::size_t bound) : m_bound(bound) {}

  double NextStartTag(Hash hash) const {
    const auto found = m_flows.find(hash);
    return found == m_flows.end() ? 0 : found->second.next_start_tag;
  }

  void Add(Hash hash, double end) {
    RemoveIdleAtBound();
    Flow& flow = m_flows[hash];
    flow.next_start_tag = end;
    m_active += flow.waiting == 0 ? 1 : 0;
    ++flow.waiting;
  }

  void Remove(Hash hash) {
    Flow& flow = m_flows.at(hash);
    --flow.waiting;
    m_active -= flow.waiting == 0 ? 1 : 0;
  }

  double Waiting(Hash hash) const {
    const auto found = m_flows.find(hash);
    return found == m_flows.end() ? 0
                                  : static_cast<double>(found->second.waiting);
  }

  // Number of flows with queued requests.
  std::size_t active() const { return m_active; }

  // Takes back the cost of a request that never ran, if it was the last one of
  // its flow; the earlier ones still count.
  void Refund(Hash hash, double start, double end) {
    Flow& flow = m_flows.at(hash);
    if (flow.next_start_tag == end) {
      flow.next_start_tag = start;
    }
  }

  void Clear() { m_flows.clear(); }

 private:
  // Flows without queued requests are kept only for their tags. Callers that
  // come once each would otherwise grow the table without bound while the queue
  // stays busy. Removing such a caller puts its next request at most one
  // position too early.
  void RemoveIdleAtBound() {
    if (m_flows.size() < m_bound) {
      return;
    }
    std::erase_if(m_flows,
                  [](const auto& entry) { return entry.second.waiting == 0; });
  }

  const std::size_t m_bound;
  std::size_t m_active = 0;
  std::unordered_map<Hash, Flow> m_flows;
};

}  // namespace

class RequestQueue::Impl {
 public:
  explicit Impl(const Parameters& parameters)
      : m_parameters(parameters),
        m_callers(2 * parameters.max_count + 1),
        m_keys(2 * parameters.max_count + 1) {}

  std::size_t RankOf(const RequestMetadata& request) const {
    return m_entries.order_of_key(PositionOf(request));
  }

  bool IsOverFairShare(const RequestMetadata& request) const {
    if (m_callers.active() == 0) {
      return false;
    }
    const double mean = static_cast<double>(m_entries.size()) /
                        static_cast<double>(m_callers.active());
    const double max_waiting = kOverShareFactor * mean + 1;
    return m_callers.Waiting(request.caller) > max_waiting ||
           m_keys.Waiting(request.key) > m_parameters.key_weight * max_waiting;
  }

  PushResult Push(const RequestMetadata& request, Clock::TimePoint now) {
    PushResult result;
    const QueuePosition position = PositionOf(request);
    if (!MakeRoom(request, position, result)) {
      return result;
    }
    Insert(request, position, now);
    result.accepted = true;
    return result;
  }

  std::optional<QueuedRequest> Pop() {
    if (m_entries.empty()) {
      return std::nullopt;
    }
    const auto first = m_entries.begin();
    m_virtual_time = first->first.finish_tag;
    const QueuedRequest waiting = first->second.waiting;
    Erase(first->first);
    return waiting;
  }

  bool Cancel(RequestTicket ticket) {
    const auto found = m_positions.find(ticket);
    if (found == m_positions.end()) {
      return false;
    }
    Refund(found->second);
    Erase(found->second);
    return true;
  }

  std::vector<RequestMetadata> TakeUnmeetable(Clock::TimePoint first_end,
                                              Clock::Duration per_rank) {
    std::vector<QueuePosition> unmeetable;
    Clock::TimePoint end = first_end;
    for (const auto& [position, entry] : m_entries) {
      if (end > entry.waiting.request.deadline) {
        unmeetable.push_back(position);
      } else {
        end += per_rank;
      }
    }
    return TakeFromBack(unmeetable);
  }

  std::vector<RequestMetadata> TakeAll() {
    std::vector<QueuePosition> all;
    all.reserve(m_entries.size());
    for (const auto& [position, entry] : m_entries) {
      all.push_back(position);
    }
    return TakeFromBack(all);
  }

  std::size_t size() const { return m_entries.size(); }
  std::size_t bytes() const { return m_bytes; }

 private:
  double StartTagOf(const RequestMetadata& request) const {
    return std::max({m_virtual_time, m_callers.NextStartTag(request.caller),
                     m_keys.NextStartTag(request.key)});
  }

  QueuePosition PositionOf(const RequestMetadata& request) const {
    return {StartTagOf(request) + CostOf(request), m_next_arrival};
  }

  // Evicts from the back of the queue while the new request goes before the
  // last one.
  bool MakeRoom(const RequestMetadata& request,
                QueuePosition position,
                PushResult& result) {
    if (request.bytes > m_parameters.max_bytes || m_parameters.max_count == 0) {
      result.limited_by_bytes = request.bytes > m_parameters.max_bytes;
      return false;
    }
    if (!CanMakeRoom(request, position, result.limited_by_bytes)) {
      return false;
    }
    while (!Fits(request, m_entries.size(), m_bytes)) {
      const QueuePosition last = std::prev(m_entries.end())->first;
      result.evicted.push_back(Take(last));
    }
    return true;
  }

  // Checked before anything is evicted: evicting a request and then refusing
  // the new one as well would lose two requests for nothing.
  bool CanMakeRoom(const RequestMetadata& request,
                   QueuePosition position,
                   bool& limited_by_bytes) {
    std::size_t count = m_entries.size();
    std::size_t bytes = m_bytes;
    auto next = m_entries.end();
    while (!Fits(request, count, bytes)) {
      limited_by_bytes = count < m_parameters.max_count;
      --next;
      if (next->first < position) {
        return false;
      }
      --count;
      bytes -= next->second.waiting.request.bytes;
    }
    return true;
  }

  bool Fits(const RequestMetadata& request,
            std::size_t count,
            std::size_t bytes) const {
    return count < m_parameters.max_count &&
           bytes + request.bytes <= m_parameters.max_bytes;
  }

  void Insert(const RequestMetadata& request,
              QueuePosition position,
              Clock::TimePoint now) {
    const double cost = CostOf(request);
    QueueEntry entry;
    entry.waiting = {request, now};
    entry.start_tag = position.finish_tag - cost;
    entry.key_finish_tag = entry.start_tag + cost / m_parameters.key_weight;
    m_callers.Add(request.caller, position.finish_tag);
    m_keys.Add(request.key, entry.key_finish_tag);
    m_entries.insert({position, entry});
    const bool is_new = m_positions.emplace(request.ticket, position).second;
    // A ticket must not be reused while its request waits.
    assert(is_new);
    static_cast<void>(is_new);
    m_bytes += request.bytes;
    ++m_next_arrival;
  }

  // Removes the last position first, since a flow's tags are refunded from its
  // end.
  std::vector<RequestMetadata> TakeFromBack(
      const std::vector<QueuePosition>& positions) {
    std::vector<RequestMetadata> taken;
    taken.reserve(positions.size());
    for (auto position = positions.rbegin(); position != positions.rend();
         ++position) {
      taken.push_back(Take(*position));
    }
    return taken;
  }

  RequestMetadata Take(QueuePosition position) {
    const RequestMetadata request =
        m_entries.find(position)->second.waiting.request;
    Refund(position);
    Erase(position);
    return request;
  }

  void Refund(QueuePosition position) {
    const QueueEntry& entry = m_entries.find(position)->second;
    m_callers.Refund(entry.waiting.request.caller, entry.start_tag,
                     position.finish_tag);
    m_keys.Refund(entry.waiting.request.key, entry.start_tag,
                  entry.key_finish_tag);
  }

  void Erase(QueuePosition position) {
    const RequestMetadata request =
        m_entries.find(position)->second.waiting.request;
    m_callers.Remove(request.caller);
    m_keys.Remove(request.key);
    m_positions.erase(request.ticket);
    m_bytes -= request.bytes;
    m_entries.erase(position);
    if (m_entries.empty()) {
      ResetTags();
    }
  }

  // With an empty queue no flow is ahead of another. Resetting also keeps the
  // tags small, so that a cost unit is never lost in a double's rounding.
  void ResetTags() {
    m_virtual_time = 0;
    m_callers.Clear();
    m_keys.Clear();
  }

  const Parameters m_parameters;
  OrderedEntries m_entries;
  std::unordered_map<RequestTicket, QueuePosition> m_positions;
  FlowTable<CallerHash> m_callers;
  FlowTable<KeyHash> m_keys;
  double m_virtual_time = 0;
  std::uint64_t m_next_arrival = 0;
  std::size_t m_bytes = 0;
};

RequestQueue::RequestQueue(const Parameters& parameters)
    : m_impl(std::make_unique<Impl>(parameters)) {}

RequestQueue::~RequestQueue() = default;

std::size_t RequestQueue::RankOf(const RequestMetadata& request) const {
  return m_impl->RankOf(request);
}

RequestQueue::PushResult RequestQueue::Push(const RequestMetadata& request,
                                            Clock::TimePoint now) {
  return m_impl->Push(request, now);
}

std::optional<RequestQueue::QueuedRequest> RequestQueue::Pop() {
  return m_impl->Pop();
}

bool RequestQueue::IsOverFairShare(const RequestMetadata& request) const {
  return m_impl->IsOverFairShare(request);
}

bool RequestQueue::Cancel(RequestTicket ticket) {
  return m_impl->Cancel(ticket);
}

std::vector<RequestMetadata> RequestQueue::TakeUnmeetable(
    Clock::TimePoint first_end,
    Clock::Duration per_rank) {
  return m_impl->TakeUnmeetable(first_end, per_rank);
}

std::vector<RequestMetadata> RequestQueue::TakeAll() {
  return m_impl->TakeAll();
}

std::size_t RequestQueue::size() const {
  return m_impl->size();
}

std::size_t RequestQueue::bytes() const {
  return m_impl->bytes();
}

}  // namespace citrongrade
