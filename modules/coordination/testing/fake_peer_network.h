#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>

#include "modules/coordination/messages/peer_message.h"

namespace citrongrade {

class EventQueue;
class FakeRandom;

// The way between nodes in virtual time. Faults: loss, repetition, delay with
// reordering, cuts of single directions. Nodes are known by number.
class FakePeerNetwork {
 public:
  using OnDelivery =
      std::function<void(std::size_t receiver, const PeerMessage&)>;

  // Both outlive the network.
  FakePeerNetwork(EventQueue& events, FakeRandom& random);

  void SetOnDelivery(OnDelivery on_delivery) {
    m_on_delivery = std::move(on_delivery);
  }
  void Send(std::size_t sender,
            std::size_t receiver,
            const PeerMessage& message);

  void Cut(std::size_t sender, std::size_t receiver);
  bool IsCut(std::size_t sender, std::size_t receiver) const;
  // Messages are lost, repeated and late.
  void SetUnreliable(bool unreliable) { m_unreliable = unreliable; }
  // Each message takes up to 150 ms more.
  void SetSaturated(bool saturated) { m_saturated = saturated; }
  void Heal();

  std::uint64_t sent() const { return m_sent; }

 private:
  void Deliver(std::size_t sender,
               std::size_t receiver,
               const PeerMessage& message);

  EventQueue* m_events;
  FakeRandom* m_random;
  OnDelivery m_on_delivery;
  std::set<std::pair<std::size_t, std::size_t>> m_cuts;
  bool m_unreliable = false;
  bool m_saturated = false;
  std::uint64_t m_sent = 0;
};

}  // namespace citrongrade
