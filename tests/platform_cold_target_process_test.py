"""Targets of citrongrade-router that are cold, as real processes against the
stand-ins of the platform's store and targets."""

import os
import signal
import sys
import threading
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from platform_mesh import COLD_EXCESS, COLD_PER_S, COLD_SLACK, DIVIDED, UNDIVIDED, Mesh  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
MAX_IN_A_SECOND = COLD_PER_S * COLD_EXCESS + COLD_SLACK
COLD_MS = 3000
# A target reports each half second.
REPORT_S = 0.7


def cold_runs(node):
    """Begins of the runs at the node's target while it was cold and its node had
    been told."""
    events = node.events()
    cold = [(e["at"], e["until"]) for e in events if e["event"] == "cold-told"]
    return [e["at"] for e in events if e["event"] == "run" and any(a <= e["at"] < b for a, b in cold)]


def busiest_second(moments):
    return max((sum(0 <= other - one < 1 for other in moments) for one in moments), default=0)


class ColdTargetTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(ROUTER, divided=3, undivided=3)
        self.addCleanup(self.mesh.close)
        self.mesh.start()
        self.statuses = []

    def press(self, path, seconds):
        """Each node sends 100 requests a second."""
        until = time.monotonic() + seconds

        def send(number, node):
            count = 0
            while time.monotonic() < until:
                count += 1
                key = (count * 2719 + number * 911) % 65536
                try:
                    self.statuses.append(node.request(path, key, f"{number}-{count}", "POST", b"body")[0])
                except OSError:
                    self.statuses.append(0)
                time.sleep(0.01)

        threads = [threading.Thread(target=send, args=caller) for caller in enumerate(self.mesh.nodes)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def of(self, service):
        return [n for n in self.mesh.nodes if n.service == service]

    # Guards against a cold target that is crashed by its full share of requests.
    def test_requests_without_keys_go_to_warm_targets(self):
        cold = self.of(UNDIVIDED)[0]
        cold.target_fault("cold", COLD_MS)
        time.sleep(REPORT_S)
        self.press("/plain/x", 2.5)
        runs = cold_runs(cold)
        self.assertGreater(len(runs), 5)
        self.assertLessEqual(busiest_second(runs), MAX_IN_A_SECOND)
        self.assertGreater(self.statuses.count(200), 0.97 * len(self.statuses))

    # Guards against a cold owner of keys that gets all requests for them.
    def test_requests_that_a_cold_owner_does_not_bear_are_refused(self):
        cold = self.of(DIVIDED)[0]
        cold.target_fault("cold", COLD_MS)
        time.sleep(REPORT_S)
        self.press("/lock/x", 2.5)
        runs = cold_runs(cold)
        self.assertGreater(len(runs), 5)
        self.assertLessEqual(busiest_second(runs), MAX_IN_A_SECOND)
        self.assertLessEqual(set(self.statuses), {200, 503})

    # Guards against a new process of the node that knows nothing of the requests
    # which its last one has sent.
    def test_the_bound_holds_across_a_restart_of_the_node(self):
        cold = self.of(UNDIVIDED)[0]
        cold.target_fault("cold", COLD_MS)
        time.sleep(REPORT_S)
        callers = threading.Thread(target=self.press, args=("/plain/x", 2.5))
        callers.start()
        time.sleep(0.6)
        cold.stop(signal.SIGKILL)
        cold.start()
        callers.join()
        self.assertLessEqual(busiest_second(cold_runs(cold)), MAX_IN_A_SECOND)


if __name__ == "__main__":
    unittest.main(verbosity=2)
