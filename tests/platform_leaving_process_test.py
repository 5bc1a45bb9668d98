"""Targets of citrongrade-router that leave while nodes are killed, as real processes
against the stand-ins of the platform's store and targets."""

import os
import signal
import sys
import threading
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from mesh_callers import MeshCallers  # noqa: E402
from platform_mesh import Mesh  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
# What the settings of the mesh name, see platform_mesh.py.
DRAIN_S = 2.0
# A new process binds the rules once it has run for so long.
CONTACT_S = 3.0
# Longest time of a request.
DEADLINE_S = 1.5
# From the confirmation to the end of a node, and from there to its start.
KILL_AFTER_S = 0.1
DOWN_S = 0.3
LATE_MS = 900
VERY_LATE_MS = 2600
# How long the target goes on after its confirmation.
SERVES_ON_S = 9.0


class LeavingTest(unittest.TestCase):
    """A target leaves, nodes are killed after its confirmation, and its last report
    comes late. The target must get no request once `DRAIN_S` have passed."""

    def start(self, divided=3, undivided=2):
        self.mesh = Mesh(ROUTER, divided, undivided)
        self.addCleanup(self.mesh.close)
        self.mesh.start()
        for node in self.mesh.nodes:
            node.target_fault("work", 100)
        leader = self.mesh.leader()
        self.node = next(n for n in self.mesh.nodes if n is not leader)
        self.callers = MeshCallers([n for n in self.mesh.nodes for _ in range(4)], paths=("/lock/x", "/plain/x"))
        self.addCleanup(self.callers.stop)
        time.sleep(2)

    def leave(self, way="leave", late_ms=LATE_MS):
        """Returns when the leaving was confirmed."""
        self.node.tell_target(f"/{way}?late={late_ms}")
        self.mesh.wait_for(self.is_confirmed, 3, "the confirmation")
        return next(e["at"] for e in self.node.events() if e["event"] == "left")

    def is_confirmed(self):
        return any(e["event"] == "left" for e in self.node.events())

    def restart(self, nodes, times=1):
        """Returns when the last processes had been started."""
        for _ in range(times):
            time.sleep(KILL_AFTER_S)
            for node in nodes:
                node.process.kill()
                node.process.wait()
            time.sleep(DOWN_S)
            for node in nodes:
                node.start()
        return time.monotonic()

    def check(self, confirmed, restarted):
        time.sleep(max(0.0, confirmed + SERVES_ON_S - time.monotonic()))
        self.callers.stop()
        since = max(confirmed + DRAIN_S, restarted + CONTACT_S) + DEADLINE_S
        late = [e["at"] - confirmed for e in self.node.events() if e["event"] == "run" and e["at"] > since]
        self.assertEqual(late[:5], [], f"{len(late)} requests reached the target that has left")
        self.assertTrue(any(e["event"] == "late-report" for e in self.node.events()))

    # Guards against a node's new process that knows nothing of what the earlier one
    # has confirmed, and takes a late report for that of a serving target.
    def test_its_node_is_killed(self):
        self.start()
        confirmed = self.leave()
        self.check(confirmed, self.restart([self.node]))

    # Guards against a new process that learns of the leaving and does not pass it on.
    def test_its_node_is_killed_twice(self):
        self.start()
        confirmed = self.leave(late_ms=VERY_LATE_MS)
        self.check(confirmed, self.restart([self.node], times=2))

    # Guards against a leaving that only the leader knows beside the node.
    def test_its_node_and_the_leader_are_killed(self):
        self.start()
        confirmed = self.leave()
        self.check(confirmed, self.restart([self.node, self.mesh.leader()]))

    # Guards against a leaving that only running processes know.
    def test_all_nodes_are_killed(self):
        self.start()
        confirmed = self.leave(late_ms=VERY_LATE_MS)
        self.check(confirmed, self.restart(self.mesh.nodes))

    # Guards against the same at the node that leads.
    def test_its_node_leads(self):
        self.start()
        self.node = self.mesh.leader()
        confirmed = self.leave()
        self.check(confirmed, self.restart([self.node]))

    # Guards against the same for a target without keys.
    def test_a_target_without_keys(self):
        self.start(divided=1, undivided=4)
        self.node = next(n for n in self.mesh.nodes[1:] if n is not self.mesh.leader())
        confirmed = self.leave(late_ms=VERY_LATE_MS)
        self.check(confirmed, self.restart([self.node]))

    # Guards against the same for a target that reports that it drains.
    def test_a_target_that_reports_that_it_drains(self):
        self.start()
        confirmed = self.leave("drain")
        self.check(confirmed, self.restart([self.node]))

    # Guards against a leaving that arrives ahead of all reports of the target.
    def test_a_new_process_hears_of_the_leaving_before_any_report(self):
        self.start()
        self.node.process.kill()
        self.node.process.wait()
        leaving = threading.Thread(target=self.leave_until_confirmed)
        time.sleep(DOWN_S)
        self.node.start()
        leaving.start()
        leaving.join()
        self.assertTrue(self.is_confirmed())
        confirmed = next(e["at"] for e in self.node.events() if e["event"] == "left")
        self.check(confirmed, self.restart([self.node]))

    def leave_until_confirmed(self):
        until = time.monotonic() + 3
        self.node.tell_target("/leave?late=1500")
        while not self.is_confirmed() and time.monotonic() < until:
            self.node.tell_target("/leave")

    # Guards against a confirmation that a new process could not know of.
    def test_without_the_store_nothing_is_confirmed(self):
        self.start()
        self.mesh.store.send_signal(signal.SIGSTOP)
        self.addCleanup(self.mesh.store.send_signal, signal.SIGCONT)
        began = time.monotonic()
        self.node.tell_target("/leave")
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertFalse(self.is_confirmed())

    # Guards against a target that starts again under its id and gets nothing, as its
    # earlier process has left.
    def test_a_target_that_starts_again_under_its_id(self):
        self.start()
        self.leave()
        self.node.target.kill()
        self.node.target.wait()
        self.node.start_target(keeps_id=True)
        self.mesh.wait_for(lambda: self.node.runs(), 8, "requests at the new process")
        restarted = self.restart([self.node])
        self.mesh.wait_for(lambda: self.node.runs()[-1][2] > restarted, 8, "requests after a restart")


if __name__ == "__main__":
    unittest.main(verbosity=2)
