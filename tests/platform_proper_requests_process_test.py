"""What callers may send, by the configuration in force, and routes that it has,
are never answered with a failure that says that the caller is wrong."""

import os
import sys
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from platform_mesh import Mesh, added_routes, call, config  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
# The longest time that the users' pages for this many nodes give a confirmed
# configuration until it has to be in force.
CONFIG_APPLY_S = 2.5
ROUTES = 5000
# The leader and the nodes that read the store need some 5 s for 0.94 MB.
SLOW_LINK_KB_PER_SECOND = 200


class ProperRequestsTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(ROUTER, divided=3, undivided=2)
        self.addCleanup(self.mesh.close)
        self.mesh.start()

    def statuses(self, method, path, headers=None, body=None):
        own = {"Host": "h.example", "Citrongrade-Attempt-Id": "a", "Citrongrade-Deadline-Ms": "1500", "Citrongrade-Shard-Key": "5"}
        own.update(headers or {})
        return {call(node.callers, method, path, own, body)[0] for node in self.mesh.nodes}

    # Guards against 431 for a head within the limit that operators have set.
    def test_a_head_as_long_as_the_configuration_allows_is_taken(self):
        self.mesh.publish_limits(2, MaxHeaderBytes=65536)
        self.assertEqual(self.statuses("GET", "/read/x", {"X-Long": "x" * 30000}), {200})

    # Guards against 404 for a route that is confirmed, while those who read the
    # store are still at it: their silence is no proof that nothing is new.
    def test_a_route_is_not_said_to_be_missing_while_it_is_being_read(self):
        self.mesh.store_fault("rate", SLOW_LINK_KB_PER_SECOND)
        time.sleep(1)
        self.mesh.publish(config(2, extra_routes=added_routes(ROUTES)))
        confirmed = time.monotonic()
        time.sleep(CONFIG_APPLY_S)
        answers = []
        while time.monotonic() < confirmed + CONFIG_APPLY_S + 4:
            for node in self.mesh.nodes:
                status = node.request(f"/added-{ROUTES - 1}/x", 5, "c")[0]
                answers.append((round(time.monotonic() - confirmed, 2), node.index, status))
            time.sleep(0.05)
        wrong = [answer for answer in answers if answer[2] == 404]
        self.assertEqual(len(wrong), 0, f"of {len(answers)}, seconds after the confirmation: {wrong[:1]} to {wrong[-1:]}")


if __name__ == "__main__":
    unittest.main(verbosity=2)
