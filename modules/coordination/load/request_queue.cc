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

double CostOf(const RequestMetadata& facts) {
  return std::max(1.0, static_cast<double>(facts.bytes) / kBytesPerCostUnit);
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
  // stays busy. Removing such a caller puts its next request at most one place
  // too early.
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

  std::size_t RankOf(const RequestMetadata& facts) const {
    return m_entries.order_of_key(PositionOf(facts));
  }

  bool IsOverShare(const RequestMetadata& facts) const {
    if (m_callers.active() == 0) {
      return false;
    }
    const double mean = static_cast<double>(m_entries.size()) /
                        static_cast<double>(m_callers.active());
    const double most = kOverShareFactor * mean + 1;
    return m_callers.Waiting(facts.caller) > most ||
           m_keys.Waiting(facts.key) > m_parameters.key_weight * most;
  }

  PushResult Push(const RequestMetadata& facts, Clock::TimePoint now) {
    PushResult result;
    const QueuePosition place = PositionOf(facts);
    if (!MakeRoom(facts, place, result)) {
      return result;
    }
    Insert(facts, place, now);
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

  std::vector<RequestMetadata> TakeHopeless(Clock::TimePoint first_end,
                                            Clock::Duration per_rank) {
    std::vector<QueuePosition> hopeless;
    Clock::TimePoint end = first_end;
    for (const auto& [place, item] : m_entries) {
      if (end > item.waiting.facts.deadline) {
        hopeless.push_back(place);
      } else {
        end += per_rank;
      }
    }
    return TakeFromBack(hopeless);
  }

  std::vector<RequestMetadata> TakeAll() {
    std::vector<QueuePosition> all;
    all.reserve(m_entries.size());
    for (const auto& [place, item] : m_entries) {
      all.push_back(place);
    }
    return TakeFromBack(all);
  }

  std::size_t size() const { return m_entries.size(); }
  std::size_t bytes() const { return m_bytes; }

 private:
  double StartTagOf(const RequestMetadata& facts) const {
    return std::max({m_virtual_time, m_callers.NextStartTag(facts.caller),
                     m_keys.NextStartTag(facts.key)});
  }

  QueuePosition PositionOf(const RequestMetadata& facts) const {
    return {StartTagOf(facts) + CostOf(facts), m_next_arrival};
  }

  // Evicts from the back of the queue while the new request goes before the
  // last one.
  bool MakeRoom(const RequestMetadata& facts,
                QueuePosition place,
                PushResult& result) {
    if (facts.bytes > m_parameters.max_bytes || m_parameters.max_count == 0) {
      result.limited_by_bytes = facts.bytes > m_parameters.max_bytes;
      return false;
    }
    if (!CanMakeRoom(facts, place, result.limited_by_bytes)) {
      return false;
    }
    while (!Fits(facts, m_entries.size(), m_bytes)) {
      const QueuePosition last = std::prev(m_entries.end())->first;
      result.evicted.push_back(Take(last));
    }
    return true;
  }

  // Checked before anything is evicted: evicting a request and then refusing
  // the new one as well would lose two requests for nothing.
  bool CanMakeRoom(const RequestMetadata& facts,
                   QueuePosition place,
                   bool& by_bytes) {
    std::size_t count = m_entries.size();
    std::size_t bytes = m_bytes;
    auto next = m_entries.end();
    while (!Fits(facts, count, bytes)) {
      by_bytes = count < m_parameters.max_count;
      --next;
      if (next->first < place) {
        return false;
      }
      --count;
      bytes -= next->second.waiting.facts.bytes;
    }
    return true;
  }

  bool Fits(const RequestMetadata& facts,
            std::size_t count,
            std::size_t bytes) const {
    return count < m_parameters.max_count &&
           bytes + facts.bytes <= m_parameters.max_bytes;
  }

  void Insert(const RequestMetadata& facts,
              QueuePosition place,
              Clock::TimePoint now) {
    const double steps = CostOf(facts);
    QueueEntry item;
    item.waiting = {facts, now};
    item.start_tag = place.finish_tag - steps;
    item.key_finish_tag = item.start_tag + steps / m_parameters.key_weight;
    m_callers.Add(facts.caller, place.finish_tag);
    m_keys.Add(facts.key, item.key_finish_tag);
    m_entries.insert({place, item});
    const bool is_new = m_positions.emplace(facts.ticket, place).second;
    // A ticket must not be reused while its request waits.
    assert(is_new);
    static_cast<void>(is_new);
    m_bytes += facts.bytes;
    ++m_next_arrival;
  }

  // Removes the last position first, since a flow's tags are refunded from its
  // end.
  std::vector<RequestMetadata> TakeFromBack(
      const std::vector<QueuePosition>& places) {
    std::vector<RequestMetadata> taken;
    taken.reserve(places.size());
    for (auto place = places.rbegin(); place != places.rend(); ++place) {
      taken.push_back(Take(*place));
    }
    return taken;
  }

  RequestMetadata Take(QueuePosition place) {
    const RequestMetadata facts = m_entries.find(place)->second.waiting.facts;
    Refund(place);
    Erase(place);
    return facts;
  }

  void Refund(QueuePosition place) {
    const QueueEntry& item = m_entries.find(place)->second;
    m_callers.Refund(item.waiting.facts.caller, item.start_tag,
                     place.finish_tag);
    m_keys.Refund(item.waiting.facts.key, item.start_tag, item.key_finish_tag);
  }

  void Erase(QueuePosition place) {
    const RequestMetadata facts = m_entries.find(place)->second.waiting.facts;
    m_callers.Remove(facts.caller);
    m_keys.Remove(facts.key);
    m_positions.erase(facts.ticket);
    m_bytes -= facts.bytes;
    m_entries.erase(place);
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

std::size_t RequestQueue::RankOf(const RequestMetadata& facts) const {
  return m_impl->RankOf(facts);
}

RequestQueue::PushResult RequestQueue::Push(const RequestMetadata& facts,
                                            Clock::TimePoint now) {
  return m_impl->Push(facts, now);
}

std::optional<RequestQueue::QueuedRequest> RequestQueue::Pop() {
  return m_impl->Pop();
}

bool RequestQueue::IsOverFairShare(const RequestMetadata& facts) const {
  return m_impl->IsOverShare(facts);
}

bool RequestQueue::Cancel(RequestTicket ticket) {
  return m_impl->Cancel(ticket);
}

std::vector<RequestMetadata> RequestQueue::TakeUnmeetable(
    Clock::TimePoint first_end,
    Clock::Duration per_rank) {
  return m_impl->TakeHopeless(first_end, per_rank);
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
