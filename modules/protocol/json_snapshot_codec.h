#pragma once

#include <optional>
#include <string>

#include "modules/coordination/snapshot_codec.h"

namespace citrongrade {

// Snapshots as the JSON of MeshImageCodec.
class JsonSnapshotCodec final : public SnapshotCodec {
 public:
  std::string Encode(const MeshImage& image) const override;
  std::optional<MeshImage> Decode(const std::string& payload) const override;
};

}  // namespace citrongrade
