#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "modules/coordination/mesh/ownership_end.h"
#include "modules/state/mesh/key_table.h"

namespace citrongrade {

// Logs which slots of one service the leader took as returned, and by which
// evidence: one line an owner, when the object ends. Create it for one step of
// the leader.
class ReturnedKeysLog {
 public:
  ReturnedKeysLog(std::string service, std::uint64_t epoch);
  ~ReturnedKeysLog();
  ReturnedKeysLog(const ReturnedKeysLog&) = delete;
  ReturnedKeysLog& operator=(const ReturnedKeysLog&) = delete;

  void Add(const SlotAssignment& assignment, const OwnershipEnd& end);

 private:
  struct Owner {
    std::string address;
    std::string target;

    friend auto operator<=>(const Owner&, const Owner&) = default;
  };
  struct Line {
    OwnershipEnd end;
    // Of each range: first and last slot, and fencing token.
    std::string ranges;
  };

  const std::string m_service;
  const std::uint64_t m_epoch;
  std::map<Owner, Line> m_lines;
};

}  // namespace citrongrade
