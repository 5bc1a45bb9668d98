#pragma once

#include <chrono>
#include <compare>

namespace citrongrade {

// Timeouts and intervals of leader election, leases and key placement.
struct MeshTiming {
  // Interval of a node's heartbeats to the leader. It is less than a quarter of
  // min_lease, so that three heartbeats in a row may get lost.
  std::chrono::milliseconds heartbeat_interval{250};
  // After a heartbeat a node promises its vote to no other node for this long.
  // It covers three heartbeats and one claim in the store. With a shorter time,
  // a slow reply would depose the leader; with a longer one, the mesh would
  // stay without a leader for longer after losing it.
  std::chrono::milliseconds vote_duration{1200};
  // A node may let its target hold keys for this long, counted from when it
  // sent the heartbeat that the leader replied to. The keys of a lost node stay
  // unserved for about as long, so it is below the 2 s that users accept. It is
  // longer than a vote promise and a claim together, so that no lease expires
  // during a change of leader.
  std::chrono::milliseconds min_lease{1900};
  // Upper bound of leases that are extended for targets with long service
  // times, so that a request can finish within its target's hold. The keys of a
  // lost node stay unserved for as long.
  std::chrono::milliseconds max_lease{3000};
  // Allowed drift between the clocks of two nodes: 2 % of max_lease.
  std::chrono::milliseconds max_clock_drift{60};
  // A member without a heartbeat for this long gets no requests of unsharded
  // services.
  std::chrono::milliseconds member_timeout{1300};
  // A new mesh waits for targets to register before it assigns keys: at least
  // initial_placement_delay after its leader's start, then until none has
  // registered for initial_placement_quiet, and at most
  // max_initial_placement_delay. Most targets are present by then, so that few
  // keys have to move right after the start. With a fixed delay, one of 25
  // targets had registered in time and got all keys.
  std::chrono::milliseconds initial_placement_delay{2500};
  std::chrono::milliseconds initial_placement_quiet{1000};
  std::chrono::milliseconds max_initial_placement_delay{6000};
  // A member without a heartbeat for this long is removed from the voters.
  std::chrono::milliseconds voter_timeout{5000};

  friend auto operator<=>(const MeshTiming&, const MeshTiming&) = default;
};

}  // namespace citrongrade
