#pragma once

#include <optional>
#include <string>

namespace citrongrade {

// Tells whether a caller whose request is being served has closed its
// connection, so that its work can be cancelled. The serving thread keeps the
// socket open meanwhile. Used only for requests that take long, since finding
// the socket looks at every open file.
class CallerConnectionWatch {
 public:
  // "ip:port" of the caller.
  explicit CallerConnectionWatch(const std::string& caller_address);

  // False also when the socket was not found.
  bool IsClosed();

 private:
  const std::string m_caller_address;
  bool m_searched = false;
  std::optional<int> m_socket;
};

}  // namespace citrongrade
