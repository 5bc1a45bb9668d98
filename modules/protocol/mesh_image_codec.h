#pragma once

#include <string>
#include <string_view>

#include "modules/state/mesh_image.h"

namespace citrongrade {

// The whole replayed state as text, in plain ASCII, so that it may be cut at
// any byte. Slots stand by owner and epoch as gaps and counts: what most of the
// text would be otherwise.
//
// Kin: RecordCodec, for log records; SnapshotAssembler (coordination), which
// joins the pieces.
class MeshImageCodec {
 public:
  // Throws RecordNotEncodableError when a text in the image is not UTF-8.
  static std::string Encode(const MeshImage& image);

  // Throws MalformedJsonError, also for slots that do not exist or stand twice:
  // a table made of them would be wrong without a sign.
  static MeshImage Decode(std::string_view text);
};

}  // namespace citrongrade
