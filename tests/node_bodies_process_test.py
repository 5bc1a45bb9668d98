"""Bodies of 64 MiB both ways, whole, in bounded memory."""

import hashlib
import sys
import threading
import unittest

from support.node_mesh import (KEYED_SETTINGS, Mesh,
                               keyed_call)
from support.processes import ProgramGroup

BUILD_DIR = sys.argv.pop(1)
MEBIBYTE = 1024 * 1024
BODY_BYTES = 64 * MEBIBYTE
AT_ONCE = 4
# Four bodies at once are 256 MiB; what a node may hold of them is some pipes
# and windows of 256 KiB each.
MAX_GROWTH = 48 * MEBIBYTE
DEADLINE = {"Citrongrade_Deadline_Ms": "60000"}


def peak_memory(program):
    with open("/proc/%d/status" % program.pid, encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
    raise ValueError("no VmHWM")


def make_body(seed):
    return hashlib.sha256(seed.encode()).digest() * (BODY_BYTES // 32)


class NodeBodiesTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        programs = ProgramGroup(BUILD_DIR)
        cls.addClassCleanup(programs.__exit__)
        cls.mesh = Mesh(programs)
        cls.mesh.publish_service(KEYED_SETTINGS)
        cls.nodes = [cls.mesh.start_node(zone)
                     for zone in ("boa-viagem", "derby")]
        cls.mesh.wait_until_served()
        cls.keys = cls.find_keys()

    @classmethod
    def find_keys(cls):
        """For each node, a key that it owns."""
        keys = {}
        for index in range(100):
            key = "audit-%d" % index
            target = keyed_call(cls.nodes[0], key).json()["target"]
            keys.setdefault(target, key)
        return [keys[node.target_address] for node in cls.nodes]

    def run_at_once(self, function):
        errors = []

        def guarded(index):
            try:
                function(index)
            except Exception as error:  # Told by the main thread.
                errors.append(error)
        threads = [threading.Thread(target=guarded, args=(index,))
                   for index in range(AT_ONCE)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(errors, [])

    def assert_bounded(self, before):
        for node, peak in zip(self.nodes, before):
            grown = peak_memory(node.process) - peak
            self.assertLess(grown, MAX_GROWTH, node.name)

    def peaks(self):
        return [peak_memory(node.process) for node in self.nodes]

    # Each upload goes in at one node and runs at the other, so that all its
    # bytes pass both. The target tells length and hash of what it got; equal
    # uploads have to give equal hashes by every way.
    def test_uploads(self):
        body = make_body("upload")
        by_own_node = keyed_call(self.nodes[1], self.keys[1], "POST", "", body,
                                 **DEADLINE).json()
        before = self.peaks()

        def upload(_):
            answer = keyed_call(self.nodes[0], self.keys[1], "POST", "", body,
                                **DEADLINE)
            self.assertEqual(answer.status, 200, answer.body[:200])
            self.assertEqual(answer.json()["body_bytes"], BODY_BYTES)
            self.assertEqual(answer.json()["body_hash"],
                             by_own_node["body_hash"])
        self.run_at_once(upload)
        self.assert_bounded(before)

    def test_downloads(self):
        path = "?bytes=%d" % BODY_BYTES
        call_id = {"Standin_Call_Id": "c-1"}
        by_own_node = keyed_call(self.nodes[1], self.keys[1], "GET", path,
                                 **call_id, **DEADLINE)
        expected = hashlib.sha256(by_own_node.body).digest()
        before = self.peaks()

        def download(_):
            answer = keyed_call(self.nodes[0], self.keys[1], "GET", path,
                                **call_id, **DEADLINE)
            self.assertEqual(len(answer.body), BODY_BYTES)
            self.assertEqual(hashlib.sha256(answer.body).digest(), expected)
        self.run_at_once(download)
        self.assert_bounded(before)


if __name__ == "__main__":
    unittest.main()
