#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/state/identifiers.h"
#include "modules/state/member_id.h"
#include "modules/state/owned_slot_range.h"
#include "modules/state/service_id.h"

namespace citrongrade {

// One node's coordination at one moment, as plain values for people.
struct CoordinatorDump {
  struct WitnessView {
    MemberId member;
    bool in_confirmed_set = false;
    bool in_pending_set = false;
    // Since its last grant was received; nothing if it never granted.
    std::optional<std::chrono::milliseconds> since_last_grant;
  };
  struct ServiceView {
    ServiceId service;
    std::uint32_t slot_count = 0;
    std::uint32_t unowned_slots = 0;
    std::vector<std::pair<OwnedSlotRange, Epoch>> runs;
  };
  struct MoveView {
    MemberId receiver;
    std::size_t slots = 0;
    std::string stage;
  };
  struct RecoveryView {
    MemberId lost;
    std::size_t slots = 0;
    // Witnesses whose answer is awaited.
    std::vector<MemberId> waits_for;
    bool history_lost = false;
  };
  // A lost member whose slots wait for testimonies.
  struct TakeoverView {
    MemberId lost;
    std::size_t testimonies = 0;
    std::vector<MemberId> waits_for;
  };

  std::optional<MemberId> identity;
  bool ready = false;
  bool draining = false;
  bool stopped = false;
  LogOffset next_offset;
  LogOffset awaited_log_end;
  bool log_available = false;
  bool in_log_gap = false;
  // Nothing while it holds no lease; a mesh of one needs none.
  std::optional<std::chrono::milliseconds> lease_remaining;
  WitnessSetVersion counted_witness_set;
  std::vector<WitnessView> witnesses;
  std::vector<MemberId> current_members;
  std::vector<ServiceView> services;
  std::vector<MoveView> moves;
  std::vector<RecoveryView> recoveries;
  std::vector<TakeoverView> takeovers;
  std::size_t request_ids = 0;
  std::size_t request_id_answer_bytes = 0;
  std::size_t witnessed_ids = 0;
  std::size_t holders_witnessed = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t records_appended = 0;
  std::uint64_t records_rejected = 0;
  std::uint64_t snapshots_written = 0;
  std::uint64_t clock_jumps = 0;
  // Latest last, a few.
  std::vector<std::string> last_errors;
};

}  // namespace citrongrade
