#include "modules/state/strong_integer.h"

#include <doctest/doctest.h>

#include "modules/state/identifiers.h"

namespace citrongrade {

TEST_CASE("a later offset is greater, and Next() returns the next one") {
  CHECK(LogOffset(3) < LogOffset(4));
  CHECK(LogOffset(3).Next() == LogOffset(4));
}

}  // namespace citrongrade
