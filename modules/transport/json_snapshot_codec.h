#pragma once

#include <optional>
#include <string>

#include "modules/coordination/snapshot_codec.h"
#include "modules/protocol/malformed_json_error.h"
#include "modules/protocol/mesh_image_codec.h"

namespace citrongrade {

// MeshImageCodec for NodeCoordinator.
class JsonSnapshotCodec final : public SnapshotCodec {
 public:
  std::string Encode(const MeshImage& image) const override {
    return MeshImageCodec::Encode(image);
  }
  std::optional<MeshImage> Decode(const std::string& payload) const override {
    try {
      return MeshImageCodec::Decode(payload);
    } catch (const MalformedJsonError&) {
      return std::nullopt;
    }
  }
};

}  // namespace citrongrade
