#include "modules/coordination/mesh/returned_keys_log.h"

#include <spdlog/spdlog.h>

#include <iterator>
#include <string_view>
#include <utility>

namespace citrongrade {

namespace {

std::string_view NameOf(OwnershipEnd::Evidence evidence) {
  switch (evidence) {
    case OwnershipEnd::Evidence::kReleased:
      return "released";
    case OwnershipEnd::Evidence::kHoldExpired:
      return "hold-expired";
    case OwnershipEnd::Evidence::kTargetGone:
      return "target-gone";
    case OwnershipEnd::Evidence::kNewIncarnation:
      return "new-incarnation";
    case OwnershipEnd::Evidence::kEarlierLeasesExpired:
      return "earlier-leases-expired";
    case OwnershipEnd::Evidence::kLeaseExpired:
      return "lease-expired";
  }
  return "unknown";
}

}  // namespace

ReturnedKeysLog::ReturnedKeysLog(std::string service, std::uint64_t epoch)
    : m_service(std::move(service)), m_epoch(epoch) {}

ReturnedKeysLog::~ReturnedKeysLog() {
  for (const auto& [owner, line] : m_lines) {
    spdlog::info(
        "event=keys-returned service={} owner={} target={} evidence={} "
        "age_ms={} epoch={} ranges={}",
        m_service, owner.address, owner.target, NameOf(line.end.evidence),
        line.end.age.count(), m_epoch, line.ranges);
  }
}

void ReturnedKeysLog::Add(const SlotAssignment& assignment,
                          const OwnershipEnd& end) {
  Line& line = m_lines[{assignment.owner, assignment.incarnation.id}];
  line.end = end;
  fmt::format_to(std::back_inserter(line.ranges), "{}{}-{}@{}",
                 line.ranges.empty() ? "" : ",", assignment.range.first,
                 assignment.range.last, assignment.fence);
}

}  // namespace citrongrade
