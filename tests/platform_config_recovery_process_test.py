"""Nodes that start anew with a long configuration in force: each connection to
the store carries 1 MB a second, and the document is 1 MB and more."""

import http.client
import os
import signal
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
LATE_ROUTE = f"added-{ROUTES - 1}"
LINK_KB_PER_SECOND = 1000
STORE_ANSWERS_AFTER_MS = 300
# RecoveryS, ContactMs and StretchMaxMs of the users' installations.
RECOVERY_S = 15
CONTACT_S = 3
STRETCH_S = 5


class Asking:
    """Asks nodes for one route by turns until it is stopped, and keeps (seconds
    since the beginning, node, status); 0 stands for no answer."""

    def __init__(self, nodes, route):
        self.answers = []
        self.done = threading.Event()
        self.since = time.monotonic()
        self.thread = threading.Thread(target=self.ask, args=(list(nodes), route))
        self.thread.start()

    def ask(self, nodes, route):
        while not self.done.is_set():
            for node in nodes:
                at = time.monotonic() - self.since
                self.answers.append((at, node.index, status_of(node, route)))
            time.sleep(0.02)

    def stop(self):
        self.done.set()
        self.thread.join()
        return self.answers


def status_of(node, route):
    try:
        return node.request(f"/{route}/x", 5, "c")[0]
    except (OSError, http.client.HTTPException):
        return 0


class ConfigRecoveryTest(unittest.TestCase):
    def start_mesh(self, spare=0):
        """A mesh with the long configuration in force, then narrow links; nodes to
        spare are not started."""
        self.mesh = Mesh(ROUTER, divided=5, undivided=2)
        self.addCleanup(self.mesh.close)
        spares = [self.mesh.nodes.pop() for _ in range(spare)]
        self.mesh.start()
        self.mesh.publish(config(2, extra_routes=added_routes(ROUTES)))
        self.mesh.await_route(LATE_ROUTE, 10)
        self.mesh.store_fault("rate", LINK_KB_PER_SECOND)
        return spares

    def restart_all_nodes(self):
        for node in self.mesh.nodes:
            node.process.send_signal(signal.SIGKILL)
        for node in self.mesh.nodes:
            node.process.wait(timeout=10)
        for node in self.mesh.nodes:
            node.start()

    # Guards against a configuration that no node can read any more once all nodes
    # have lost it at the same moment.
    def test_all_nodes_serve_a_late_route_after_the_loss_of_all(self):
        self.start_mesh()
        self.restart_all_nodes()
        self.mesh.await_route(LATE_ROUTE, RECOVERY_S)

    # Guards against nodes that are as good as lost while the configuration is on
    # its way again: the first routes are served, too.
    def test_all_nodes_serve_a_first_route_after_the_loss_of_all(self):
        self.start_mesh()
        self.restart_all_nodes()
        self.mesh.await_route("read", RECOVERY_S)

    # Guards against 404 from a node that has started and knows no configuration, or
    # an old one: its callers do not come again.
    def test_no_node_says_after_the_loss_of_all_that_a_route_is_missing(self):
        self.start_mesh()
        self.restart_all_nodes()
        asked = [Asking(self.mesh.nodes, route) for route in (LATE_ROUTE, "read")]
        time.sleep(RECOVERY_S)
        answers = [answer for asking in asked for answer in asking.stop()]
        self.assertEqual([a for a in answers if a[2] == 404], [])
        late = [a for a in answers if a[0] > RECOVERY_S - 2]
        self.assertEqual({status for _, _, status in late}, {200})

    # Guards against a configuration that is lost on the way once more, when all
    # nodes are killed while they read it.
    def test_all_nodes_serve_a_late_route_after_a_second_loss_in_the_middle(self):
        self.start_mesh()
        self.restart_all_nodes()
        time.sleep(1)
        self.restart_all_nodes()
        self.mesh.await_route(LATE_ROUTE, RECOVERY_S)

    # Guards against a node that joins late and is in touch before it has read the
    # configuration that the others have.
    def test_a_node_that_joins_late_serves_a_late_route_in_time(self):
        (joining,) = self.start_mesh(spare=1)
        joining.start_target()
        joining.start()
        self.mesh.await_route(LATE_ROUTE, CONTACT_S, [joining])

    # Guards against the same while the store takes its time for each answer, too.
    def test_a_node_that_joins_late_serves_a_late_route_while_the_store_is_slow(self):
        (joining,) = self.start_mesh(spare=1)
        self.mesh.store_fault("slow", STORE_ANSWERS_AFTER_MS)
        joining.start_target()
        joining.start()
        self.mesh.await_route(LATE_ROUTE, CONTACT_S + STRETCH_S, [joining])

    # Guards against a node that joins late and says 404 for routes that all others
    # serve.
    def test_a_node_that_joins_late_does_not_say_that_a_route_is_missing(self):
        (joining,) = self.start_mesh(spare=1)
        self.mesh.store_fault("slow", STORE_ANSWERS_AFTER_MS)
        joining.start_target()
        joining.start()
        asking = Asking([joining], LATE_ROUTE)
        time.sleep(CONTACT_S + STRETCH_S)
        answers = asking.stop()
        self.assertEqual([a for a in answers if a[2] == 404], [])
        self.assertEqual(answers[-1][2], 200)

    # Guards against a leader that takes the store for lost as it can't read the long
    # configuration in time: told to stop, it must hand over all the same, or the
    # keys are without a leader once it is gone.
    def test_a_leader_that_reads_the_configuration_hands_over_when_told_to_stop(self):
        self.start_mesh()
        self.restart_all_nodes()
        self.mesh.wait_for(lambda: self.mesh.leader() is not None, RECOVERY_S, "a leader")
        time.sleep(CONTACT_S)
        leader = self.mesh.leader()
        others = [node for node in self.mesh.nodes if node is not leader]
        leader.process.send_signal(signal.SIGTERM)
        self.mesh.wait_for(
            lambda: leader.process.poll() is not None or self.is_led_by_one_of(others),
            RECOVERY_S,
            "another leader, or the end of the old one",
        )
        self.assertIsNone(leader.process.poll(), "the old leader ended before another led")

    def is_led_by_one_of(self, nodes):
        return any(node.state()["is_leader"] for node in nodes)


if __name__ == "__main__":
    unittest.main(verbosity=2)
