"""Targets of citrongrade-router that die while they hold keys, as real processes
against the stand-ins of the platform's store and targets."""

import time
import unittest

import platform_closed_listener_process_test as shared
from promises import holds_of

TAKEOVER = shared.TAKEOVER


def longest_unheld(lives, key, begin, end):
    """The longest time from `begin` to `end` in which no target held the key."""
    longest = 0
    held_until = begin
    for hold in sorted((h for life in lives for h in holds_of(life, key)), key=lambda h: h.begin):
        longest = max(longest, min(hold.begin, end) - held_until)
        held_until = max(held_until, min(hold.end, end))
    return max(longest, end - held_until)


class TargetDiesTest(shared.ClosedListenerCase):
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
            time.sleep(TAKEOVER + 1)
            lives = [shared.life_of(other) for other in [self.leaving, *self.others]]
            unheld = {key: longest_unheld(lives, key, died, died + TAKEOVER + 1) for key in shared.PROBED_KEYS}
            key = max(unheld, key=unheld.get)
            self.assertLess(unheld[key], TAKEOVER, f"key {key}, leaves={leaves}")


class TargetDiesWithReportedGrantsTest(TargetDiesTest):
    grants = "heartbeat"


if __name__ == "__main__":
    unittest.main(verbosity=2)
