"""A node that leaves under load: no request in flight is interrupted."""

import sys
import threading
import time
import unittest

from support.node_mesh import KEYED_SETTINGS, Mesh, keyed_call
from support.processes import ProgramGroup, call, wait_until

BUILD_DIR = sys.argv.pop(1)
CALLERS = 8
KEYS = 40


class Load:
    """Callers that send one request after another until they are stopped."""

    def __init__(self, nodes):
        self.answers = []
        self.broken = []
        self._nodes = nodes
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(index,))
                         for index in range(CALLERS)]
        for thread in self._threads:
            thread.start()

    def _run(self, index):
        count = 0
        while not self._stop.is_set():
            count += 1
            key = "audit-%d" % ((index + count * CALLERS) % KEYS)
            node = self._nodes[count % len(self._nodes)]
            request_id = "%d-%d" % (index, count)
            try:
                self.answers.append(keyed_call(
                    node, key, "POST", body=b"x" * 100,
                    Idempotency_Key=request_id))
            except ConnectionRefusedError:
                # The node has gone: the request was not sent.
                pass
            except Exception as error:
                self.broken.append((request_id, node.name, error))

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def outcomes(self):
        counts = {}
        for answer in self.answers:
            outcome = answer.headers.get("citrongrade-outcome")
            error = ("" if outcome == "done" else answer.json()["error"])
            counts[(outcome, error)] = counts.get((outcome, error), 0) + 1
        return counts


class GracefulStopTest(unittest.TestCase):

    def setUp(self):
        programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(programs.__exit__)
        self.mesh = Mesh(programs)
        self.mesh.publish_service(KEYED_SETTINGS)
        for zone in ("boa-viagem", "derby", "suape", "derby"):
            self.mesh.start_node(zone, service_time_us=20000)
        self.mesh.wait_until_served()

    def leave_under_load(self, leave):
        leaving = self.mesh.nodes[1]
        load = Load(self.mesh.nodes)
        self.addCleanup(load.stop)
        time.sleep(1)
        leave(leaving)
        status = leaving.process.wait()
        time.sleep(0.5)
        load.stop()
        print("outcomes:", load.outcomes(), file=sys.stderr)
        self.assertEqual(load.broken, [])
        self.assertEqual([key for key in load.outcomes()
                          if key[0] not in ("done", "not-run")], [])
        self.assertEqual(status, 0, leaving.process.log_text())
        self.assert_all_served_without(leaving)

    def runs_of(self, node):
        return call(node.target_address, "GET", "/v1/runs").json()["runs"]

    def assert_all_served_without(self, leaving):
        others = [node for node in self.mesh.nodes if node is not leaving]
        for index in range(KEYS):
            answer = keyed_call(others[index % 3], "audit-%d" % index)
            self.assertEqual(answer.status, 200, answer.body)
            self.assertNotEqual(answer.json()["target"],
                                leaving.target_address)

    # The node hands its slots over while it still passes requests on, finishes
    # what it runs, refuses what comes later as not-run, and exits with 0.
    def test_terminated(self):
        self.leave_under_load(lambda node: node.process.signal(15))

    def test_drained_by_an_operator(self):
        def drain(node):
            answer = call(node.control, "POST", "/v1/drain")
            self.assertEqual(answer.status, 202)
        self.leave_under_load(drain)

    # The target announces that it drains, and stays until it is stopped, as it
    # has to: its node may have sent it a request before it read the news. Its
    # node gives its slots to others, and no new work reaches it.
    def test_target_drains(self):
        leaving = self.mesh.nodes[2]
        load = Load(self.mesh.nodes)
        self.addCleanup(load.stop)
        time.sleep(0.5)
        call(leaving.target_address, "POST", "/v1/control", {"drain": True})
        wait_until(lambda: leaving.dump()["coordinator"] is None,
                   "the node has left the mesh")
        runs = len(self.runs_of(leaving))
        time.sleep(0.5)
        self.assertEqual(len(self.runs_of(leaving)), runs)
        self.assertEqual(leaving.target.stop(), 0)
        load.stop()
        print("outcomes:", load.outcomes(), file=sys.stderr)
        self.assertEqual(load.broken, [])
        self.assertEqual([key for key in load.outcomes()
                          if key[0] not in ("done", "not-run")], [])
        self.assert_all_served_without(leaving)


if __name__ == "__main__":
    unittest.main()
