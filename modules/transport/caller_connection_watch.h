#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace citrongrade {

// Tells whether a caller whose request is being served has closed its
// connection, so that its work can be cancelled. CivetWeb doesn't show its
// sockets, so the socket is found among this process's own by the address at
// its other end; the serving thread keeps it open meanwhile. Used only for
// requests that take long, since the search looks at every open file.
class CallerConnectionWatch {
 public:
  // "ip:port" of the caller.
  explicit CallerConnectionWatch(const std::string& caller_address);

  // False also when the socket was not found.
  bool IsClosed();

 private:
  std::optional<int> FindSocket() const;

  const std::string m_caller_address;
  bool m_searched = false;
  std::optional<int> m_socket;
};

}  // namespace citrongrade
