#include "modules/coordination/testing/fake_peer_network.h"

#include "modules/coordination/testing/event_queue.h"
#include "modules/coordination/testing/fake_random.h"

namespace citrongrade {

using std::chrono::microseconds;
using std::chrono::milliseconds;

FakePeerNetwork::FakePeerNetwork(EventQueue& events, FakeRandom& random)
    : m_events(&events), m_random(&random) {}

void FakePeerNetwork::Send(std::size_t sender,
                           std::size_t receiver,
                           const PeerMessage& message) {
  ++m_sent;
  if (m_unreliable && m_random->Chance(15)) {
    return;
  }
  Deliver(sender, receiver, message);
  if (m_unreliable && m_random->Chance(10)) {
    Deliver(sender, receiver, message);
  }
}

void FakePeerNetwork::Deliver(std::size_t sender,
                              std::size_t receiver,
                              const PeerMessage& message) {
  Clock::Duration delay =
      m_random->Between(microseconds(300), microseconds(1500));
  if (m_saturated) {
    delay += m_random->Between(microseconds(0), milliseconds(150));
  }
  if (m_unreliable && m_random->Chance(15)) {
    delay += m_random->Between(microseconds(0), milliseconds(2000));
  }
  m_events->Schedule(delay, [this, sender, receiver, message] {
    if (!IsCut(sender, receiver)) {
      m_on_delivery(receiver, message);
    }
  });
}

void FakePeerNetwork::Cut(std::size_t sender, std::size_t receiver) {
  m_cuts.emplace(sender, receiver);
}

bool FakePeerNetwork::IsCut(std::size_t sender, std::size_t receiver) const {
  return m_cuts.contains({sender, receiver});
}

void FakePeerNetwork::Heal() {
  m_cuts.clear();
  m_unreliable = false;
  m_saturated = false;
}

}  // namespace citrongrade
