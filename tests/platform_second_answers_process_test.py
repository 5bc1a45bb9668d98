"""Targets of citrongrade-router that send an answer twice on its connection, as real
processes against the stand-ins of the platform's store and targets."""

import collections
import os
import sys
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "soak"), os.path.join(HERE, "..", "platform", "testing")]

from mesh_callers import MeshCallers  # noqa: E402
from platform_mesh import Mesh  # noqa: E402
from promises import check_work, life_of  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
PROMISES_NOT_RUN = (408, 421, 429, 503)
SHED_PERCENT = 45
REPEATED_PERCENT = 20
WORK_MS = 160
PLAYED_S = 10
# Runs at a target whose keys move last so long that a release is due meanwhile.
LONG_WORK_MS = 900


def events_of(nodes, name):
    return [event for node in nodes for event in node.events() if event["event"] == name]


class SecondAnswersTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(ROUTER, divided=3, undivided=0)
        self.addCleanup(self.mesh.close)
        self.mesh.start()

    def play_refusals(self, repeat_ms):
        """A target refuses many requests, and sends some of its answers twice. A
        request that ran once must not be answered as never run, and none runs twice."""
        target = self.mesh.nodes[0]
        for node in self.mesh.nodes:
            node.target_fault("work", WORK_MS)
        target.target_fault("repeat_ms", repeat_ms)
        target.target_fault("repeat", REPEATED_PERCENT)
        target.target_fault("shed_some", SHED_PERCENT)
        callers = MeshCallers([node for node in self.mesh.nodes for _ in range(4)])
        time.sleep(PLAYED_S)
        outcomes = callers.stop()
        runs = collections.Counter(run["attempt"] for run in events_of(self.mesh.nodes, "run"))
        self.assertGreater(len(events_of([target], "answers-twice")), 20)
        refused = [attempt for _, attempt, status in outcomes if status in PROMISES_NOT_RUN and runs[attempt]]
        self.assertEqual(refused, [], "answered as never run, and ran")
        sent = {attempt for _, attempt, _ in outcomes}
        self.assertEqual([attempt for attempt in sent if runs[attempt] > 1], [], "ran more than once")

    # Guards against the second copy of a refusal, sent when the next request comes,
    # which is taken for the answer to the retry of the refused request.
    def test_a_refusal_that_comes_again_with_the_next_request(self):
        self.play_refusals(0)

    # Guards against the same where the copy comes while the retry runs.
    def test_a_refusal_that_comes_again_during_the_retry(self):
        self.play_refusals(20)

    # Guards against the copy of an answer to a grant which is taken for the answer to
    # a release, so that keys are given on while requests run on them.
    def test_an_answer_to_a_grant_that_comes_again_at_a_release(self):
        for node in self.mesh.nodes:
            node.target_fault("work", LONG_WORK_MS)
            node.target_fault("repeat_commands", 100)
        callers = MeshCallers([node for node in self.mesh.nodes for _ in range(6)])
        time.sleep(2)
        self.mesh.nodes[0].tell_target("/drain")
        time.sleep(4)
        callers.stop()
        self.assertGreater(len(events_of(self.mesh.nodes, "release")), 0)
        problems = check_work([life_of(node) for node in self.mesh.nodes])
        self.assertEqual(problems[:5], [], f"{len(problems)} in all")


if __name__ == "__main__":
    unittest.main(verbosity=2)
