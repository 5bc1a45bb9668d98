#include "modules/state/mesh/zone_evacuations.h"

#include <doctest/doctest.h>

namespace citrongrade {
namespace {

// Guards against a zone that stays out of service, or comes back, because an
// old order is read again.
TEST_CASE("orders that are already included have no effect") {
  const ZoneEvacuations none;
  const ZoneEvacuations begun = none.After({"derby", true, 5});
  CHECK(begun.Contains("derby"));
  CHECK(begun.position == 5);
  const ZoneEvacuations ended = begun.After({"derby", false, 9});
  CHECK_FALSE(ended.Contains("derby"));
  CHECK(ended.After({"derby", true, 5}) == ended);
  CHECK(ended.After({"derby", true, 9}) == ended);
}

TEST_CASE("zones are evacuated independently of each other") {
  const ZoneEvacuations both =
      ZoneEvacuations().After({"derby", true, 1}).After({"suape", true, 2});
  CHECK(both.Contains("derby"));
  CHECK(both.Contains("suape"));
  CHECK(both.After({"derby", false, 3}).Contains("suape"));
}

}  // namespace
}  // namespace citrongrade
