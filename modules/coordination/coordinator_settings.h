#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "modules/state/size_limits.h"

namespace citrongrade {

// Times and bounds of coordination; equal on all nodes of a mesh.
struct CoordinatorSettings {
  using Milliseconds = std::chrono::milliseconds;

  // What a holder counts from before it asked. 600 nodes served again within
  // 2 s of a loss: 1.2 s of lease, the margin, one round, an append and a read.
  Milliseconds lease_duration{1200};
  // Four renewals fit one lease, so that three lost ones in a row end it.
  Milliseconds renewal_interval{300};
  // A witness counts this much longer. Also the largest jump of its clock that
  // a witness overlooks; clocks that only drift stay far below it.
  Milliseconds drift_margin{150};
  // A holder that was away for longer gives up its lease.
  Milliseconds pause_threshold{500};
  // A witness that has not answered for so long is replaced.
  Milliseconds witness_silence{750};
  // A node that is suspected or that is draining is not chosen for so long.
  Milliseconds suspicion{5000};
  // A witness of rank r waits r times as long before it starts a takeover.
  Milliseconds takeover_stagger{150};
  // Time between two attempts at the same close, collection or move message.
  Milliseconds retry_interval{100};
  // An append that is not read back after this is written anew; the rules make
  // the second one harmless if the first arrives late.
  Milliseconds append_patience{2000};
  // Members of a new service are awaited for so long after the last joined.
  Milliseconds settling{1000};
  // Register gives up waiting for a majority of witnesses after this.
  Milliseconds registration_patience{600};
  // A successor answers kRecovering for so long, then kHistoryLost.
  Milliseconds recovery_patience{2000};
  // Work in flight in a slot that moves is awaited for so long.
  Milliseconds move_patience{5000};
  // How long a witness keeps markers of a holder that is gone.
  Milliseconds marker_retention{120'000};
  std::size_t max_request_ids = 400'000;
  std::size_t max_witnessed_ids = 2'000'000;
  std::size_t max_answer_bytes = 16UL * 1024 * 1024;
  // Ids in one message between nodes.
  std::size_t ids_per_message = 2'000;
  // A snapshot is due after so many records; well inside the log's retention.
  std::uint64_t records_per_snapshot = 2'000;
  // And after so long without one, since the log keeps records only for a time.
  Milliseconds snapshot_interval{300'000};
  std::size_t snapshot_chunk_bytes = SizeLimits::kMaxSnapshotChunkBytes;

  friend auto operator<=>(const CoordinatorSettings&,
                          const CoordinatorSettings&) = default;
};

}  // namespace citrongrade
