#include "programs/citrongradectl/config_diff.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "modules/state/accept_all_config.h"
#include "modules/state/mesh_state.h"
#include "programs/citrongradectl/json_printer.h"

namespace citrongrade {

TEST_CASE("a diff names new, changed, unchanged and undeclared entries") {
  const AcceptAllConfig rules;
  MeshState state(rules);
  for (const char* name : {"same", "other", "gone"}) {
    state.Apply({state.next_offset(), RecordId(name),
                 ConfigRecord{ConfigKind::kTemplate, name, ConfigVersion(),
                              R"({"a":{"b":1},"c":2})", "ana"}});
  }
  const std::vector<Declaration> declarations = {
      {ConfigKind::kTemplate, "same", R"({"c":2,"a":{"b":1}})", ""},
      {ConfigKind::kTemplate, "other", R"({"a":{"b":3},"d":4})", ""},
      {ConfigKind::kTemplate, "new", "{}", ""}};
  const auto diffs = ConfigDiff::Compare(declarations, state);
  REQUIRE(diffs.size() == 4);
  CHECK(diffs[0].status == ConfigDiff::Status::kUnchanged);
  CHECK(diffs[1].status == ConfigDiff::Status::kChanged);
  CHECK(diffs[1].changes ==
        std::vector<ConfigDiff::FieldChange>{
            {"a.b", "1", "3"}, {"c", "2", ""}, {"d", "", "4"}});
  CHECK(diffs[2].status == ConfigDiff::Status::kNew);
  CHECK(diffs[3].name == "gone");
  CHECK(diffs[3].status == ConfigDiff::Status::kOnlyInForce);
}

TEST_CASE("a dump is printed as lines and tables, whatever its fields") {
  const auto dump = nlohmann::ordered_json::parse(
      R"({"node":"n","log":{"next_offset":7},"x":[],)"
      R"("targets":[{"a":1},{"a":22,"b":"c"}]})");
  std::ostringstream out;
  JsonPrinter::Print(dump, out);
  CHECK(out.str() ==
        "node: n\nlog.next_offset: 7\nx: []\n\ntargets:\na   b\n1\n22  c\n");
}

}  // namespace citrongrade
