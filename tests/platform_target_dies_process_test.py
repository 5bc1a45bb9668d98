"""Targets of citrongrade-router that die while they hold keys, as real processes
against the stand-ins of the platform's store and targets."""

import time
import unittest

import platform_closed_listener_process_test as shared

TAKEOVER = shared.TAKEOVER


class TargetDiesTest(shared.ClosedListenerCase):
    # Guards against keys that stay unserved once their target has died, in the
    # middle of its leaving too.
    def test_a_target_that_dies(self):
        for leaves in (False, True):
            node = self.others.pop()
            if leaves:
                node.tell_target("/drain")
                time.sleep(0.1)
            node.target.kill()
            died = time.monotonic()
            keys = range(0, 65536, 2048)
            self.mesh.wait_for(lambda: sum(o.holds_key(k) for o in [self.leaving, *self.others] for k in keys) >= len(keys), TAKEOVER + 1, "a holder of each key")
            self.assertLess(time.monotonic() - died, TAKEOVER, f"leaves={leaves}")


class TargetDiesWithReportedGrantsTest(TargetDiesTest):
    grants = "heartbeat"


if __name__ == "__main__":
    unittest.main(verbosity=2)
