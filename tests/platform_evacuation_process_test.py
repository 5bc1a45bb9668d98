"""Operators evacuate availability zones of citrongrade-router, as real processes
against the stand-ins of the platform's store and targets."""

import os
import signal
import sys
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from mesh_callers import MeshCallers  # noqa: E402
from platform_mesh import UNDIVIDED, Mesh  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
# No request may reach a target of the zone later than this after the store has
# confirmed its evacuation.
EVACUATE_S = 5.0
BOTH_SERVICES = ("/lock/x", "/plain/x")


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(ROUTER, divided=6, undivided=3)
        self.addCleanup(self.mesh.close)
        self.mesh.start()

    def zone(self, name):
        return [n for n in self.mesh.nodes if f"zone-{n.index % 3}" == name]

    def last_run(self, nodes):
        return max((run[2] for n in nodes for run in n.runs()), default=0)

    def has_runs_since(self, node, moment):
        return any(run[2] >= moment for run in node.runs())

    def check_runs(self, outcomes):
        """No attempt ran twice; none that was refused as not run has run."""
        runs = [run[0] for n in self.mesh.live_nodes() for run in n.runs() if "-" in run[0]]
        self.assertEqual(len(runs), len(set(runs)))
        refused = {attempt for _, attempt, status in outcomes if status in (429, 503)}
        self.assertEqual(refused & set(runs), set())
        self.assertEqual(self.mesh.shared_holds(), [])

    # Guards against requests that reach an evacuated zone, are lost on the way
    # out of it, or don't come back to it.
    def test_requests_leave_an_evacuated_zone_and_come_back(self):
        callers = MeshCallers(self.mesh.nodes, paths=BOTH_SERVICES)
        time.sleep(1)
        began = time.monotonic()
        self.mesh.evacuate("zone-1")
        time.sleep(EVACUATE_S + 1)
        self.assertLess(self.last_run(self.zone("zone-1")), began + EVACUATE_S)
        self.assertEqual([n.state()["evacuated_zones"] for n in self.mesh.nodes], [["zone-1"]] * 9)
        self.assertTrue(self.mesh.serves_all_keys())
        ended = time.monotonic()
        self.mesh.end_evacuation("zone-1")
        Mesh.wait_for(
            lambda: all(self.has_runs_since(n, ended) for n in self.zone("zone-1") if n.service == UNDIVIDED),
            5,
            "requests in the zone again",
        )
        outcomes = callers.stop()
        self.check_runs(outcomes)
        served = sum(status == 200 for _, _, status in outcomes)
        self.assertGreater(served, 0.9 * len(outcomes))

    # Guards against a zone that is forgotten by the next leader.
    def test_an_evacuation_outlives_the_leader(self):
        self.mesh.evacuate("zone-1")
        Mesh.wait_for(lambda: self.mesh.nodes[0].state()["evacuated_zones"] == ["zone-1"], 3, "the evacuation")
        leader = self.mesh.leader()
        leader.stop(signal.SIGKILL)
        leader.start()
        time.sleep(EVACUATE_S)
        began = time.monotonic()
        callers = MeshCallers(self.mesh.nodes, paths=BOTH_SERVICES)
        time.sleep(2)
        self.check_runs(callers.stop())
        self.assertLess(self.last_run(self.zone("zone-1")), began)
        self.assertTrue(self.mesh.serves_all_keys())

    # Guards against orders that are missed after an outage of the store.
    def test_evacuations_are_followed_again_after_an_outage(self):
        self.mesh.evacuate("zone-2")
        Mesh.wait_for(lambda: self.mesh.nodes[0].state()["evacuated_zones"] == ["zone-2"], 3, "the evacuation")
        self.mesh.store_fault("down")
        time.sleep(3)
        self.mesh.store_fault("down", 0)
        self.mesh.end_evacuation("zone-2")
        self.mesh.evacuate("zone-1")
        Mesh.wait_for(
            lambda: all(n.state()["evacuated_zones"] == ["zone-1"] for n in self.mesh.nodes if n.is_ready()),
            EVACUATE_S,
            "only zone-1 evacuated",
        )

    # Guards against requests that wait for a target that may not get them.
    def test_requests_are_refused_at_once_if_all_zones_are_evacuated(self):
        for zone in ("zone-0", "zone-1", "zone-2", "no-such-zone"):
            self.mesh.evacuate(zone)
        time.sleep(EVACUATE_S)
        began = time.monotonic()
        answers = [n.request("/lock/x", 7, "late", "POST", b"body")[:2] for n in self.mesh.nodes]
        self.assertEqual({status for status, _ in answers}, {503})
        self.assertTrue(all(float(headers["Retry-After"]) > 0 for _, headers in answers))
        self.assertLess(time.monotonic() - began, 1.0 * len(answers))
        self.assertLess(self.last_run(self.mesh.nodes), began)


if __name__ == "__main__":
    unittest.main(verbosity=2)
