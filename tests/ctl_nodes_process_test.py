"""What citrongradectl does with nodes: list, dump, drain, forget."""

import json
import sys
import threading
import unittest

from support.node_mesh import Mesh, keyed_call
from support.processes import ProgramGroup, wait_until
from support.publications import Publisher

BUILD_DIR = sys.argv.pop(1)
OK, USAGE, UNREACHABLE = 0, 2, 7
CALLERS = 4


class Callers:
    """Call one node for many keys until stopped; keep what wasn't answered."""

    def __init__(self, node):
        self.failed = []
        self.answered = 0
        self._node = node
        self._stopping = False
        self._threads = [threading.Thread(target=self._run, args=(i,))
                         for i in range(CALLERS)]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopping = True
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        key = 0
        while not self._stopping:
            key += 1
            answer = keyed_call(self._node, "key-%d-%d" % (number, key))
            if answer.status == 200:
                self.answered += 1
            else:
                self.failed.append((answer.status, answer.body))


class NodesTest(unittest.TestCase):

    def setUp(self):
        programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(programs.__exit__)
        self.mesh = Mesh(programs)
        self.ctl = Publisher(BUILD_DIR, self.mesh)
        self.addCleanup(self.ctl.close)
        self.assertEqual(self.ctl.publish_template()[0], OK)
        self.assertEqual(self.ctl.publish_version(0)[0][0], OK)
        for zone in ("boa-viagem", "derby", "suape"):
            self.mesh.start_node(zone)
        self.mesh.wait_until_served()

    def nodes(self):
        return json.loads(self.ctl.run("nodes", "--json")[1])

    def test_nodes_and_dump(self):
        self.assertEqual({node["node"] for node in self.nodes()},
                         {"node-1", "node-2", "node-3"})
        self.assertEqual(sum(node["slots"] for node in self.nodes()), 64)
        code, output, _ = self.ctl.run("dump", "node-2", "--json")
        self.assertEqual((code, json.loads(output)["node"]), (OK, "node-2"))
        code, output, _ = self.ctl.run("dump", "node-2")
        self.assertIn("coordinator.lease_remaining_ms: ", output)
        code, _, errors = self.ctl.run("dump", "nod-2")
        self.assertEqual(code, USAGE)
        self.assertIn("did you mean node-2?", errors)
        code, _, _ = self.ctl.run("dump", "--control-address", "127.0.0.1:1")
        self.assertEqual(code, UNREACHABLE)

    # An operator takes a host out while callers are served. Its slots move, its
    # process ends by itself, and no caller sees a failure.
    def test_drain_under_load(self):
        callers = Callers(self.mesh.nodes[0])
        try:
            code, output, errors = self.ctl.run(
                "drain", "node-2", "--wait", "--timeout-ms", 20000)
            self.assertEqual(code, OK, output + errors)
            self.assertEqual(self.mesh.nodes[1].process.wait(), 0)
        finally:
            callers.stop()
        self.assertEqual(callers.failed, [])
        self.assertGreater(callers.answered, 0)
        owners = {node["node"]: node["slots"] for node in self.nodes()}
        self.assertEqual(set(owners), {"node-1", "node-3"})
        self.assertEqual(sum(owners.values()), 64)

    # Forgetting a member that is merely paused could give a key two owners, so
    # the program does nothing until the operator vouches for it.
    def test_forget_needs_the_operators_word(self):
        lost = self.mesh.nodes[2]
        incarnation = next(node["incarnation"] for node in self.nodes()
                           if node["node"] == "node-3")
        code, _, errors = self.ctl.run("forget", "node-3", "--incarnation",
                                       incarnation)
        self.assertEqual(code, USAGE)
        self.assertIn("i-vouch", errors)
        self.assertEqual(len(self.nodes()), 3)
        lost.process.kill()
        lost.target.kill()
        code, output, errors = self.ctl.run(
            "forget", "node-3", "--incarnation", incarnation,
            "--i-vouch-that-its-process-is-gone")
        # The others may have taken over before the operator's word came.
        self.assertIn(code, (OK, USAGE), output + errors)
        wait_until(lambda: sum(node["slots"] for node in self.nodes()) == 64
                   and len(self.nodes()) == 2, "all slots have live owners")


if __name__ == "__main__":
    unittest.main()
