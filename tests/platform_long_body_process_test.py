"""A body as long as the configuration in force allows is taken."""

import os
import select
import socket
import sys
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from platform_mesh import Mesh  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")


def upload(node, body):
    """Status of an upload. A refusal by its length comes before the body: sent
    into a closed connection, the body would only show a reset."""
    ip, port = node.callers.split(":")
    head = f"POST /plain/x HTTP/1.1\r\nHost: h.example\r\nCitrongrade-Attempt-Id: u\r\nCitrongrade-Deadline-Ms: 1500\r\nContent-Length: {len(body)}\r\n\r\n"
    with socket.create_connection((ip, int(port)), timeout=5) as connection:
        connection.sendall(head.encode())
        if not select.select([connection], [], [], 0.3)[0]:
            connection.sendall(body)
        return int(connection.recv(4096).split(b" ", 2)[1])


class LongBodyTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(ROUTER, divided=3, undivided=2)
        self.addCleanup(self.mesh.close)
        self.mesh.start()

    # Guards against 413 for a body within the limit that operators have set.
    def test_a_body_as_long_as_the_configuration_allows_is_taken(self):
        self.mesh.publish_limits(2, MaxBodyBytes=16 << 20)
        self.assertEqual({upload(node, b"x" * (9 << 20)) for node in self.mesh.nodes}, {200})


if __name__ == "__main__":
    unittest.main(verbosity=2)
