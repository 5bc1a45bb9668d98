"""citrongrade-router while the platform's store is away for all nodes."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import platform_mesh_process_test as shared  # noqa: E402


class StoreOutageTest(unittest.TestCase):
    # The store is away for three seconds: owners that live go on.
    def test_owners_serve_while_the_store_is_away(self):
        mesh = shared.Mesh(shared.ROUTER)
        self.addCleanup(mesh.close)
        mesh.start()
        callers = shared.MeshCallers([mesh.nodes[0]])
        mesh.store_fault("down", 1)
        time.sleep(3)
        mesh.store_fault("down", 0)
        outcomes = callers.stop()
        self.assertEqual({status for _, _, status in outcomes}, {200})


if __name__ == "__main__":
    unittest.main()
