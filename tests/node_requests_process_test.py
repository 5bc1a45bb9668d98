"""Requests on their whole way: any node, the owner's node, its target."""

import sys
import unittest

from support.node_mesh import (KEYED_SETTINGS, Mesh, keyed_call)
from support.processes import ProgramGroup, call

BUILD_DIR = sys.argv.pop(1)
KEYS = ["audit-%d" % index for index in range(30)]


class NodeRequestsTest(unittest.TestCase):

    def setUp(self):
        programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(programs.__exit__)
        self.mesh = Mesh(programs)
        self.mesh.publish_service(KEYED_SETTINGS)
        for zone in ("boa-viagem", "derby", "suape"):
            self.mesh.start_node(zone)
        self.mesh.wait_until_served()

    def test_each_key_is_run_by_one_target_whichever_node_is_asked(self):
        targets = set()
        for key in KEYS:
            answers = [keyed_call(node, key) for node in self.mesh.nodes]
            self.assertEqual([answer.status for answer in answers], [200] * 3)
            owners = {answer.json()["target"] for answer in answers}
            self.assertEqual(len(owners), 1, key)
            targets |= owners
        self.assertEqual(len(targets), 3)


if __name__ == "__main__":
    unittest.main()
