#pragma once

#include <compare>

namespace citrongrade {

// Switches for the safeguards, all on. A seam for tests alone: with one off,
// the randomized test has to report a violation, which shows that the test
// would see the safeguard missing. See docs/design/safeguards.md.
struct Safeguards {
  // CheckGrant compares the lease's end with the clock at the moment of call.
  bool lease_check_at_dispatch = true;
  // A witness that testified refuses renewals of that version for ever.
  bool witness_closing = true;
  // A message to an earlier incarnation of a witness is not answered as if it
  // had that incarnation's memory.
  bool witness_incarnation = true;
  // An append takes effect only when it is read back from the log.
  bool read_back = true;
  // A successor collects request ids before it runs protected requests.
  bool request_id_collection = true;
  // While a witness set is pending, the holder counts on one set alone and
  // changes over only with a majority of the pending one.
  bool pending_set_majority = true;
  // A node that sees its clock jump gives up its lease and its grants' ends.
  bool clock_jump = true;

  friend auto operator<=>(const Safeguards&, const Safeguards&) = default;
};

}  // namespace citrongrade
