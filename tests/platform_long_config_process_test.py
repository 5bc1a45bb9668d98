"""A long configuration over narrow links: each node's connection to the store
carries 1 MB a second, and the document is 1 MB and more."""

import os
import sys
import threading
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from platform_mesh import Mesh, added_routes, config  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
ROUTES = 5000
LINK_KB_PER_SECOND = 1000
# Users want a change in force within 2 s of its confirmation, and confirm this
# one once it could be read over such a link: 1.2 s.
IN_FORCE_S = 3.2


class LongConfigTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(ROUTER, divided=5, undivided=2)
        self.addCleanup(self.mesh.close)
        self.mesh.start()
        self.mesh.store_fault("rate", LINK_KB_PER_SECOND)

    def publish(self, version, routes):
        self.mesh.publish(config(version, extra_routes=added_routes(routes)))

    def status(self, node, route):
        return node.request(f"/{route}/x", 5, "c")[0]

    # Guards against a configuration that is never read, as its reading is given
    # up after a fixed time and begins anew.
    def test_a_long_configuration_over_narrow_links_is_in_force_in_time(self):
        self.publish(2, ROUTES)
        self.mesh.await_route(f"added-{ROUTES - 1}", IN_FORCE_S)

    # Guards against a second change that finds the first still on its way, and
    # against all nodes reading the whole again for one more route.
    def test_a_change_behind_a_long_one_is_in_force_in_time(self):
        self.publish(2, ROUTES)
        time.sleep(0.5)
        self.publish(3, ROUTES + 1)
        self.mesh.await_route(f"added-{ROUTES}", 2 * IN_FORCE_S)

    # Guards against 404 for a route that another node serves already: its caller
    # does not come again.
    def test_a_node_that_is_behind_does_not_say_that_a_route_is_missing(self):
        answers = []
        done = threading.Event()

        def ask():
            while not done.is_set():
                for node in self.mesh.nodes:
                    asked = time.monotonic()
                    status = self.status(node, f"added-{ROUTES - 1}")
                    answers.append((asked, status, time.monotonic() - asked))

        asking = threading.Thread(target=ask)
        asking.start()
        try:
            self.publish(2, ROUTES)
            self.mesh.await_route(f"added-{ROUTES - 1}", IN_FORCE_S)
        finally:
            done.set()
            asking.join()
        first_served, _, took = min(answer for answer in answers if answer[1] == 200)
        # Until a node's next heartbeat has been answered it can't know.
        wrong = [at - first_served for at, status, _ in answers if status == 404 and at > first_served + 0.6]
        self.assertEqual(wrong, [], f"the first answer that served it took {took:.3f} s; logs in {self.mesh.folder}")

    # Guards against leases that run out while the configuration takes the links:
    # requests of routes that stay are served all the while.
    def test_routes_that_stay_are_served_meanwhile(self):
        statuses = []
        self.publish(2, ROUTES)
        until = time.monotonic() + IN_FORCE_S
        while time.monotonic() < until:
            for number, node in enumerate(self.mesh.nodes):
                statuses.append(node.request("/read/x", number * 9000, "r")[0])
        self.assertEqual(set(statuses), {200})


if __name__ == "__main__":
    unittest.main(verbosity=2)
