#pragma once

#include <cstddef>
#include <cstdint>

namespace citrongrade {

// Limits on the contents of a log record. Every node treats a record beyond
// them as unreadable, so that one writer can't exhaust the memory of all nodes.
struct SizeLimits {
  // Largest append that the platform's log accepts.
  static constexpr std::size_t kMaxRecordBytes = std::size_t{1024} * 1024;
  static constexpr std::size_t kMaxNameBytes = 128;
  static constexpr std::size_t kMaxRecordIdBytes = 256;
  static constexpr std::size_t kMaxAddressBytes = 64;
  static constexpr std::size_t kMaxReasonBytes = 1024;
  // One template, or the parameters of one service.
  static constexpr std::size_t kMaxConfigBodyBytes = std::size_t{64} * 1024;
  // Four times the slots of the largest planned mesh; 12 bytes each.
  static constexpr std::uint32_t kMaxSlots = 262'144;
  // Owners named in one record, and members of a mesh.
  static constexpr std::size_t kMaxMembers = 8'192;
  static constexpr std::size_t kMaxWitnesses = 16;
  static constexpr std::size_t kMaxServices = 4'096;
  static constexpr std::size_t kMaxConfigEntries = 8'192;
  // Encoded as JSON text, a chunk grows by the escapes of its quotes, which
  // make up about an eighth of a snapshot.
  static constexpr std::size_t kMaxSnapshotChunkBytes = std::size_t{512} * 1024;
  // 16 MiB in total; a snapshot of a mesh of the planned size takes some
  // hundred KiB.
  static constexpr std::uint32_t kMaxSnapshotChunks = 32;
};

}  // namespace citrongrade
