#include "modules/coordination/testing/fake_snapshot_codec.h"

#include <cstddef>

namespace citrongrade {

namespace {

constexpr std::size_t kPayloadBytes = 200;

}  // namespace

std::string FakeSnapshotCodec::Encode(const MeshImage& image) const {
  m_images.push_back(image);
  std::string payload = std::to_string(m_images.size() - 1);
  payload.resize(kPayloadBytes, ' ');
  return payload;
}

std::optional<MeshImage> FakeSnapshotCodec::Decode(
    const std::string& payload) const {
  const std::size_t number = std::stoul(payload);
  if (number >= m_images.size()) {
    return std::nullopt;
  }
  return m_images[number];
}

}  // namespace citrongrade
