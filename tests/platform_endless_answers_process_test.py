"""Targets of citrongrade-router that answer with bytes without end, as real processes
against the stand-ins of the platform's store and targets."""

import os
import sys
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from mesh_callers import MeshCallers  # noqa: E402
from platform_mesh import Mesh  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
# Smallest limit of a node's memory on the deployment sheets, and what of it a node
# may take while a target pours.
MEMORY_MB = 160
MAX_PEAK_MB = 0.75 * MEMORY_MB
PLAYED_S = 5
POURED_TO = 12
# Numbers of the stand-in's POURED_FORMS.
CHUNKS, UNTIL_CLOSE, HEAD, HEAD_LINE = range(4)
# The others are served as without the fault.
MIN_SERVED = 0.99


def peak_mb(node):
    with open(f"/proc/{node.process.pid}/status") as file:
        line = next(line for line in file if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


class EndlessAnswersTest(unittest.TestCase):
    """One target pours, to callers at the node beside it and at another one."""

    def setUp(self):
        self.mesh = Mesh(ROUTER, divided=1, undivided=3)
        self.addCleanup(self.mesh.close)
        for node in self.mesh.nodes:
            node.write_settings(memory_mb=MEMORY_MB)
        self.mesh.start()
        _, self.pouring, self.other, _ = self.mesh.nodes

    def play(self, form, pause_ms=0):
        self.pouring.target_fault("pour_form", form)
        self.pouring.target_fault("pour_ms", pause_ms)
        self.pouring.target_fault("pour", 100)
        poured_to = MeshCallers([self.pouring] * POURED_TO + [self.other] * POURED_TO, paths=("/plain/x",))
        time.sleep(PLAYED_S)
        outcomes = poured_to.stop()
        poured = sum(event["event"] == "pours" for event in self.pouring.events())
        self.assertGreater(poured, 0)
        peaks = {node.index: peak_mb(node) for node in self.mesh.nodes}
        print(f"form {form}, pause {pause_ms} ms: {poured} answers poured, {len(outcomes)} requests, peaks in MB {peaks}")
        self.assertLess(max(peaks.values()), MAX_PEAK_MB)
        # No promise for those that ran; but each got an answer.
        self.assertEqual([attempt for _, attempt, status in outcomes if status == 0], [])
        # A request that did not reach the pouring target is served as ever.
        elsewhere = {event["attempt"] for node in self.mesh.nodes if node is not self.pouring for event in node.events() if event["event"] == "run"}
        statuses = [status for _, attempt, status in outcomes if attempt in elsewhere]
        self.assertGreater(len(statuses), 0)
        self.assertGreaterEqual(statuses.count(200) / len(statuses), MIN_SERVED)

    # Guards against bodies that together outgrow the process, each within its limit.
    def test_bodies_in_chunks(self):
        self.play(CHUNKS)

    # Guards against the same where the body ends with the connection.
    def test_bodies_until_the_end_of_the_connection(self):
        self.play(UNTIL_CLOSE)

    # Guards against the same where the bytes come slowly, and many wait for them.
    def test_slow_bodies(self):
        self.play(CHUNKS, pause_ms=20)

    # Guards against heads that are kept as they grow.
    def test_heads(self):
        self.play(HEAD)
        self.play(HEAD_LINE)


if __name__ == "__main__":
    unittest.main(verbosity=2)
