#pragma once

#include <chrono>
#include <compare>

namespace citrongrade {

// The times by which nodes of a mesh agree who leads and who may serve.
struct MeshTiming {
  // A node tells the leader that it is alive this often. A quarter of the
  // lease, so that three may get lost in a row.
  std::chrono::milliseconds heartbeat_interval{250};
  // After a heartbeat a node gives its vote to nobody else for so long. Three
  // heartbeats and the time of one claim in the store: shorter, a slow answer
  // would unseat the leader; longer, nobody leads for longer after its loss.
  std::chrono::milliseconds vote_duration{1200};
  // A node may let its target hold keys for so long after the heartbeat that
  // the leader answered. Keys of a lost node are unserved for about as long, so
  // below the 2 s that users accept; above promise and claim together, so that
  // a change of leader lets nobody's lease run out.
  std::chrono::milliseconds min_lease{1900};
  // Where work takes long, leases last up to this, so that it can end within
  // its target's hold; keys of a lost node are unserved for as long.
  std::chrono::milliseconds max_lease{3000};
  // Clocks of two nodes may drift apart by 2 % of the longest lease.
  std::chrono::milliseconds max_clock_drift{60};
  // A member that was silent for so long gets no undivided work.
  std::chrono::milliseconds member_timeout{1300};
  // A new mesh waits so long for targets to announce themselves before it
  // gives out keys: most are there, and the keys need not move at once.
  std::chrono::milliseconds initial_placement_delay{2500};
  // A member that was away for so long loses its vote.
  std::chrono::milliseconds voter_timeout{5000};

  friend auto operator<=>(const MeshTiming&, const MeshTiming&) = default;
};

}  // namespace citrongrade
