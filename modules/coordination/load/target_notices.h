#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/coordination/load/target_notice.h"

namespace citrongrade {

// What this node has been told of the targets of other nodes, by the mesh
// address of the node beside each.
//
// The node beside a target enforces what the target says. Should it start anew,
// it has forgotten everything, while this node's requests are bound by what it
// has passed on to its callers. So this node sends its notice along with each
// request, and keeps from a target that leaves whatever the view says.
//
// Thread-confined.
class TargetNotices {
 public:
  explicit TargetNotices(const Clock& clock);

  void OnNotice(const std::string& address, const TargetNotice& notice);
  // An answer of the target came without a notice: it names no limit.
  void OnAnswerWithoutNotice(const std::string& address);

  // Empty if there is nothing to tell.
  std::optional<TargetNotice> Find(const std::string& address) const;
  // Returns whether this process of the target has been leaving for longer than
  // `period`.
  bool HasLeft(const std::string& address,
               const TargetIncarnation& target,
               Clock::Duration period) const;
  bool is_empty() const { return m_notices.empty(); }

  void RemoveIf(const std::function<bool(const std::string& address)>& is_gone);

 private:
  struct Entry {
    TargetNotice notice;
    std::optional<Clock::TimePoint> leaving_since;
  };

  const Clock& m_clock;
  std::map<std::string, Entry> m_notices;
};

}  // namespace citrongrade
