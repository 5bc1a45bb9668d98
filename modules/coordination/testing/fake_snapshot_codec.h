#pragma once

#include <string>
#include <vector>

#include "modules/coordination/snapshot_codec.h"

namespace citrongrade {

// Keeps the images and puts their number into the payload, padded so that it
// takes several chunks.
class FakeSnapshotCodec final : public SnapshotCodec {
 public:
  std::string Encode(const MeshImage& image) const override;
  std::optional<MeshImage> Decode(const std::string& payload) const override;

 private:
  mutable std::vector<MeshImage> m_images;
};

}  // namespace citrongrade
