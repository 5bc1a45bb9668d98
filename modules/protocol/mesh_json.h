#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "modules/state/member_id.h"
#include "modules/state/owned_slot_range.h"
#include "modules/state/records/config_kind.h"
#include "modules/state/records/join_record.h"
#include "modules/state/service_id.h"

namespace citrongrade {

class JsonObjectReader;

// JSON form of the values that records and snapshots share. Reading throws
// MalformedJsonError.
class MeshJson {
 public:
  // ["node", incarnation]
  static nlohmann::json Write(const MemberId& member);
  static MemberId ReadMember(const nlohmann::json& value);
  static std::vector<MemberId> ReadMembers(const nlohmann::json& list);
  static nlohmann::json Write(const std::vector<MemberId>& members);

  // "workspace/service"
  static nlohmann::json Write(const ServiceId& service);
  static ServiceId ReadService(std::string_view text);

  // "template" or "service"
  static std::string Write(ConfigKind kind);
  static ConfigKind ReadConfigKind(std::string_view text);

  // Fields "owners", each owner once, and "runs": first slot, count and index
  // into owners, three numbers a run, since a record may hold thousands.
  static void WriteRuns(nlohmann::json& object,
                        const std::vector<OwnedSlotRange>& runs);
  static std::vector<OwnedSlotRange> ReadRuns(JsonObjectReader& object);

  static void WriteJoin(nlohmann::json& object, const JoinRecord& record);
  static JoinRecord ReadJoin(JsonObjectReader& object);
};

}  // namespace citrongrade
