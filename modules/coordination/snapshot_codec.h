#pragma once

#include <optional>
#include <string>

#include "modules/state/mesh_image.h"

namespace citrongrade {

// The payload of a snapshot. Kin: implemented in protocol.
class SnapshotCodec {
 public:
  virtual ~SnapshotCodec() = default;

  virtual std::string Encode(const MeshImage& image) const = 0;

  // Nothing when the payload can't be read.
  virtual std::optional<MeshImage> Decode(const std::string& payload) const = 0;
};

}  // namespace citrongrade
