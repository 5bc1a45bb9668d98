"""Requests that wait at a target of citrongrade-router whose keys move away, as
real processes against the stand-ins of the platform's store and targets."""

import os
import sys
import threading
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from platform_mesh import Mesh  # noqa: E402
from target_standin import SLOTS  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
# Runs last so long that those which hold the target's slots end well after its
# keys have begun to move.
WORK_S = 1.0
# Answers come so long before the slots are free, or earlier.
MARGIN_S = 0.15


class MovedKeysTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(ROUTER, divided=3, undivided=1)
        self.addCleanup(self.mesh.close)
        self.mesh.start()

    # Guards against requests that wait for their turn at a target which has begun
    # to give their keys away, and are refused only when it comes.
    def test_a_request_whose_key_moves_does_not_wait_for_its_turn(self):
        node = self.mesh.nodes[0]
        keys = [key for key in range(0, 65536, 64) if node.holds_key(key)]
        node.target_fault("work", int(WORK_S * 1000))
        step = len(keys) // (3 * SLOTS)
        ends = {}

        def call(key):
            status = node.request("/lock/x", key, f"a-{key}", "POST", b"body")[0]
            ends[f"a-{key}"] = (time.monotonic(), status)

        callers = [threading.Thread(target=call, args=(key,)) for key in keys[::step]]
        began = time.monotonic()
        for caller in callers:
            caller.start()
        time.sleep(0.1)
        node.tell_target("/drain")
        for caller in callers:
            caller.join()
        runs = {event["attempt"] for event in node.events() if event["event"] == "run"}
        waited = {name: end for name, end in ends.items() if name not in runs}
        self.assertGreaterEqual(len(waited), SLOTS)
        late = [name for name, (at, _) in waited.items() if at - began > WORK_S - MARGIN_S]
        self.assertEqual(late, [])


if __name__ == "__main__":
    unittest.main(verbosity=2)
