#pragma once

#include <stdexcept>

namespace citrongrade {

// A mistake in the command line or the environment.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A file or directory of declarations that can't be read.
class UnreadableFileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A node's control address that does not answer as it should.
class NodeUnreachableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The log's first records have passed out of retention, and what is kept holds
// no whole snapshot.
class LogPastLostError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace citrongrade
