#pragma once

#include <cstddef>
#include <cstdint>

namespace citrongrade {

// Bounds of what a log record may hold. A record beyond them is unreadable to
// every node alike, so one writer can't fill the memory of all of them.
struct SizeLimits {
  // What the platform's log takes in one append.
  static constexpr std::size_t kMaxRecordBytes = std::size_t{1024} * 1024;
  static constexpr std::size_t kMaxNameBytes = 128;
  static constexpr std::size_t kMaxRecordIdBytes = 256;
  static constexpr std::size_t kMaxAddressBytes = 64;
  static constexpr std::size_t kMaxReasonBytes = 1024;
  // One template, or one service's parameters.
  static constexpr std::size_t kMaxConfigBodyBytes = std::size_t{64} * 1024;
  // Four times the slots of the largest mesh planned for; 12 bytes each.
  static constexpr std::uint32_t kMaxSlots = 262'144;
  // Owners that one record names, and members of a mesh.
  static constexpr std::size_t kMaxMembers = 8'192;
  static constexpr std::size_t kMaxWitnesses = 16;
  static constexpr std::size_t kMaxServices = 4'096;
  static constexpr std::size_t kMaxConfigEntries = 8'192;
  // As JSON text a chunk grows by its quotes, about an eighth of a snapshot.
  static constexpr std::size_t kMaxSnapshotChunkBytes = std::size_t{512} * 1024;
  // 16 MiB; a snapshot at target size takes some hundred KiB.
  static constexpr std::uint32_t kMaxSnapshotChunks = 32;
};

}  // namespace citrongrade
