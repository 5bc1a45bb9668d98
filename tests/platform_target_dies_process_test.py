"""Targets of citrongrade-router that die while they hold keys, as real processes
against the stand-ins of the platform's store and targets."""

import http.client
import time
import unittest

import platform_closed_listener_process_test as shared
from promises import holds_of

TAKEOVER = shared.TAKEOVER
LISTENER_CLOSES_MS = 60


def longest_unheld(lives, key, begin, end):
    """The longest time from `begin` to `end` in which no target held the key."""
    longest = 0
    held_until = begin
    for hold in sorted((h for life in lives for h in holds_of(life, key)), key=lambda h: h.begin):
        longest = max(longest, min(hold.begin, end) - held_until)
        held_until = max(held_until, min(hold.end, end))
    return max(longest, end - held_until)


class TargetDiesTest(shared.ClosedListenerCase):
    def check_taken_over(self, died, what):
        """No key is without a holder for long."""
        end = died + TAKEOVER + 1
        time.sleep(end - time.monotonic())
        lives = [shared.life_of(other) for other in [self.leaving, *self.others]]
        unheld = {key: longest_unheld(lives, key, died, end) for key in shared.PROBED_KEYS}
        key = max(unheld, key=unheld.get)
        self.assertLess(unheld[key], TAKEOVER, f"key {key}, {what}")

    # Guards against keys that stay unserved once their target has died, in the
    # middle of its leaving too. Keys that move afterwards, to even out the load,
    # have no holder while the work on them ends: each key is judged by itself, as
    # there need be no moment at which all are held.
    def test_a_target_that_dies(self):
        for leaves in (False, True):
            node = self.others.pop()
            if leaves:
                node.tell_target("/drain")
                time.sleep(0.1)
            node.target.kill()
            died = time.monotonic()
            self.check_taken_over(died, f"leaves={leaves}")

    # Guards against a target that leaves and dies, whose listener still takes the
    # one connection by which its node looks for it, and whose keys then wait for
    # their holds to expire.
    def test_a_target_whose_listener_is_closed_last(self):
        node = self.others.pop()
        node.tell_target("/drain")
        time.sleep(0.1)
        died = time.monotonic()
        with self.assertRaises((OSError, http.client.HTTPException)):
            node.target_fault("die", LISTENER_CLOSES_MS)
        self.check_taken_over(died, "listener closed last")


class TargetDiesWithReportedGrantsTest(TargetDiesTest):
    grants = "heartbeat"


if __name__ == "__main__":
    unittest.main(verbosity=2)
