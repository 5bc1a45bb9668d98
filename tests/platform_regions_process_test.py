"""Routes that may be served in one region only, on citrongrade-router as real
processes in two regions."""

import os
import sys
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from platform_mesh import Mesh, region_of  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")


class RegionsTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(ROUTER, divided=3, undivided=3)
        self.addCleanup(self.mesh.close)
        self.mesh.start()

    def runs_outside(self):
        nodes = [n for n in self.mesh.nodes if region_of(f"zone-{n.index % 3}") != "south"]
        return [run[0] for n in nodes for run in n.runs() if run[0].startswith("home")]

    # Guards against data that leaves the regions it may be kept in.
    def test_requests_run_in_their_routes_regions_only(self):
        statuses = []
        for number in range(10):
            for node in self.mesh.nodes:
                attempt = f"home-{node.index}-{number}"
                statuses.append(node.request("/plain-home/x", None, attempt, "POST", b"x")[0])
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.runs_outside(), [])

    # Guards against a request that runs at its key's owner in another region.
    def test_a_key_whose_owner_is_elsewhere_is_refused(self):
        statuses = []
        for number in range(60):
            node = self.mesh.nodes[number % len(self.mesh.nodes)]
            statuses.append(node.request("/lock-home/x", number * 1092, f"home-{number}", "POST", b"x")[0])
        self.assertEqual(set(statuses), {200, 503})
        self.assertEqual(self.runs_outside(), [])


if __name__ == "__main__":
    unittest.main(verbosity=2)
