#include "modules/protocol/json_snapshot_codec.h"

#include "modules/protocol/malformed_json_error.h"
#include "modules/protocol/mesh_image_codec.h"

namespace citrongrade {

std::string JsonSnapshotCodec::Encode(const MeshImage& image) const {
  return MeshImageCodec::Encode(image);
}

std::optional<MeshImage> JsonSnapshotCodec::Decode(
    const std::string& payload) const {
  try {
    return MeshImageCodec::Decode(payload);
  } catch (const MalformedJsonError&) {
    return std::nullopt;
  }
}

}  // namespace citrongrade
