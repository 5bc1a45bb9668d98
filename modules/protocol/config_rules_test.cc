#include "modules/protocol/config_rules.h"

#include <doctest/doctest.h>

#include <string>

#include "modules/protocol/service_settings_codec.h"
#include "modules/state/mesh_state.h"

namespace citrongrade {

namespace {

const ServiceId kSorteio{WorkspaceName("w"), ServiceName("sorteio")};

std::string TemplateBody(const std::string& slot_count,
                         const std::string& settings) {
  return R"({"kind":"template","name":"t","parameters":{"slots":)"
         R"({"type":"integer","min":1,"max":65536,"default":)" +
         slot_count + R"(}},"settings":{"slot_count":{"parameter":"slots"})" +
         settings + "}}";
}

constexpr const char* kServiceBody =
    R"({"kind":"service","workspace":"w","name":"sorteio","template":"t"})";

// A state that is fed records one after the other.
class Replay {
 public:
  ApplyResult Apply(const Record& record) {
    return m_state.Apply({m_state.next_offset(), RecordId("r"), record});
  }
  ApplyResult Publish(ConfigKind kind,
                      const std::string& name,
                      const std::string& body) {
    const ConfigEntry* current = m_state.FindConfig(kind, name);
    const ConfigVersion version =
        current == nullptr ? ConfigVersion() : current->version;
    return Apply(ConfigRecord{kind, name, version, body, "ana"});
  }
  ApplyResult PublishTemplate(const std::string& slot_count,
                              const std::string& settings = "") {
    return Publish(ConfigKind::kTemplate, "t",
                   TemplateBody(slot_count, settings));
  }
  ApplyResult PublishService() {
    return Publish(ConfigKind::kService, "w/sorteio", kServiceBody);
  }
  // The only member of the mesh owns all slots.
  void AssignSlots(std::uint32_t count) {
    JoinRecord join;
    join.node = NodeId("node-1");
    join.service = kSorteio;
    const Incarnation incarnation(m_state.next_offset().value());
    REQUIRE(Apply(join).accepted());
    const OwnedSlotRange run{SlotIndex(0), count, {join.node, incarnation}};
    REQUIRE(Apply(AssignRecord{kSorteio, count, 0, {run}}).accepted());
  }
  const MeshState& state() const { return m_state; }

 private:
  ConfigRules m_rules;
  MeshState m_state{m_rules};
};

}  // namespace

TEST_CASE("settings in force are the template's with the service's values") {
  Replay replay;
  REQUIRE(replay.PublishTemplate("64").accepted());
  REQUIRE(replay.PublishService().accepted());
  const auto all = ServiceSettingsCodec::DecodeAll(replay.state());
  REQUIRE(all.contains(kSorteio));
  CHECK(all.at(kSorteio)->slot_count == 64);
  CHECK(all.at(kSorteio)->template_version == ConfigVersion(1));
  CHECK(all.at(kSorteio)->parameters_version == ConfigVersion(2));
}

TEST_CASE("a service without its template is refused by every node") {
  Replay replay;
  const ApplyResult result = replay.PublishService();
  CHECK(result.rejected == RejectReason::kInvalidConfig);
  CHECK(result.detail == "template: no template t is in force");
}

TEST_CASE("a template's change that would break a service is refused whole") {
  // An operator adds a required parameter to a template in use. No service
  // gives it a value yet, so nodes would be left without settings for them.
  Replay replay;
  REQUIRE(replay.PublishTemplate("64").accepted());
  REQUIRE(replay.PublishService().accepted());
  const std::string with_required =
      R"({"kind":"template","name":"t","parameters":{"header":)"
      R"({"type":"text","required":true}},"settings":)"
      R"({"key_source":"header","key_name":{"parameter":"header"}}})";
  const ApplyResult result =
      replay.Publish(ConfigKind::kTemplate, "t", with_required);
  CHECK(result.rejected == RejectReason::kInvalidConfig);
  CHECK(result.detail ==
        "it would break service w/sorteio: parameters.header: is missing; "
        "template t requires it");
  CHECK(ServiceSettingsCodec::DecodeAll(replay.state())
            .at(kSorteio)
            ->slot_count == 64);
}

TEST_CASE("where keys live can't change once slots have owners") {
  // Nodes read a change at different moments. For that while two nodes would
  // hash one key to different slots, and send it to two owners.
  Replay replay;
  REQUIRE(replay.PublishTemplate("64").accepted());
  REQUIRE(replay.PublishService().accepted());
  CHECK(replay.PublishTemplate("32").accepted());
  replay.AssignSlots(32);
  CHECK(replay.PublishTemplate("64").rejected == RejectReason::kInvalidConfig);
  CHECK(replay.PublishTemplate("32", R"(,"hash_seed":1)").rejected ==
        RejectReason::kInvalidConfig);
  CHECK(replay
            .PublishTemplate(
                "32", R"(,"key_source":"query-field","key_name":"berth")")
            .rejected == RejectReason::kInvalidConfig);
  CHECK(replay.PublishTemplate("32", R"(,"max_queued":7)").accepted());
}

TEST_CASE("a record whose name is not its body's is refused") {
  Replay replay;
  CHECK(replay.Publish(ConfigKind::kTemplate, "u", TemplateBody("1", ""))
            .rejected == RejectReason::kInvalidConfig);
  CHECK(replay.Publish(ConfigKind::kTemplate, "t", "not json").rejected ==
        RejectReason::kInvalidConfig);
  CHECK(replay.Publish(ConfigKind::kTemplate, "t", "[]").rejected ==
        RejectReason::kInvalidConfig);
}

TEST_CASE("a body of unknown names only is refused quickly and briefly") {
  // Every node checks every record. A body of ten thousand misspelled names
  // would have each node search near names for minutes, and miss its renewals.
  std::string body = R"({"kind":"template","name":"t","settings":{)";
  for (int i = 0; i < 4'000; ++i) {
    body += "\"setting_" + std::to_string(i) + "\":1,";
  }
  body += R"("slot_count":1}})";
  Replay replay;
  const ApplyResult result = replay.Publish(ConfigKind::kTemplate, "t", body);
  CHECK(result.rejected == RejectReason::kInvalidConfig);
  CHECK(result.detail.size() < 10'000);
}

}  // namespace citrongrade
