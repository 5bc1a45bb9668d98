#pragma once

namespace citrongrade {

// What citrongradectl ends with. Its help lists them.
enum class ExitCode {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  // Declarations with mistakes, or refused by the rules of configuration.
  kInvalid = 3,
  // Another change was first.
  kConflict = 4,
  // Not known whether it took effect.
  kUnknown = 5,
  // Nodes that have not got there in time.
  kLagging = 6,
  // The log or a node could not be reached; nothing was changed.
  kUnreachable = 7,
  // diff found differences.
  kDiffers = 8,
};

}  // namespace citrongrade
