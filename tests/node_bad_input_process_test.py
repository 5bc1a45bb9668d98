"""Wrong requests and wrong settings: each a clear refusal, and no more."""

import http.client
import socket
import sys
import unittest

from support.node_mesh import (KEYED_PATH, KEYED_SETTINGS, Mesh, keyed_call)
from support.processes import Answer, ProgramGroup, call, free_addresses

BUILD_DIR = sys.argv.pop(1)
NODE_FLAGS = ("--node-id", "--zone", "--caller-address", "--control-address",
              "--data-address", "--peer-address", "--log-address")


class BadRequestsTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        programs = ProgramGroup(BUILD_DIR)
        cls.addClassCleanup(programs.__exit__)
        cls.mesh = Mesh(programs)
        cls.mesh.publish_service(
            dict(KEYED_SETTINGS, require_request_id=True))
        cls.node = cls.mesh.start_node()
        cls.mesh.wait_until_served()

    def assert_refused(self, answer, status, error):
        self.assertEqual((answer.status, answer.json()["error"]),
                         (status, error))
        self.assertEqual(answer.headers["citrongrade-outcome"], "not-run")
        self.assertEqual(answer.json()["outcome"], "not-run")
        self.assertEqual(answer.json()["request_id"],
                         answer.headers["citrongrade-request-id"])
        # Nothing else is disturbed.
        self.assertEqual(keyed_call(self.node, "a").status, 200)

    def raw(self, text):
        host, port = self.node.caller.split(":")
        with socket.create_connection((host, int(port)), 10) as connection:
            connection.sendall(text)
            response = http.client.HTTPResponse(connection)
            response.begin()
            headers = {name.lower(): value
                       for name, value in response.getheaders()}
            return Answer(response.status, headers, response.read())

    def test_unknown_service(self):
        for path in ("/recife/unknown/x", "/unknown/sorteio/x", "/", "/recife"):
            self.assert_refused(
                call(self.node.caller, "GET", path, headers={"X-Key": "a"}),
                404, "unknown-service")

    def test_keys(self):
        path = KEYED_PATH + "/x"
        self.assert_refused(call(self.node.caller, "GET", path), 400,
                            "missing-key")
        self.assert_refused(keyed_call(self.node, ""), 400, "missing-key")
        self.assert_refused(keyed_call(self.node, "k" * 513), 400,
                            "key-too-long")
        self.assertEqual(keyed_call(self.node, "k" * 512).status, 200)

    def test_request_ids(self):
        self.assert_refused(keyed_call(self.node, "a", "POST", body=b""), 400,
                            "missing-request-id")
        for bad in ("", "i" * 201, "a\xe9b"):
            self.assert_refused(
                keyed_call(self.node, "a", "POST", body=b"",
                           Idempotency_Key=bad), 400, "bad-request-id")

    def test_deadlines(self):
        for bad in ("0", "-1", "soon", "1.5", "", "99999999999"):
            self.assert_refused(
                keyed_call(self.node, "a", Citrongrade_Deadline_Ms=bad), 400,
                "bad-deadline")

    def test_header_too_large(self):
        self.assert_refused(keyed_call(self.node, "a", X_Long="x" * 20000),
                            431, "header-too-large")

    def test_body_too_long(self):
        answer = keyed_call(self.node, "a", "POST", body=b"x",
                            Idempotency_Key="i",
                            Content_Length=str(200 * 1024 * 1024))
        self.assert_refused(answer, 400, "malformed-request")

    def test_what_is_not_http(self):
        for bad in (b"nonsense\r\n\r\n",
                    b"GET / HTTP/1.1\r\nIdempotency-Key: a\x01b\r\n\r\n",
                    b"GET / HTTP/1.1\r\nIdempotency-Key: a\x7fb\r\n\r\n"):
            self.assert_refused(self.raw(bad), 400, "malformed-request")

    def test_head_beyond_what_the_server_reads(self):
        # The library gives up before the node sees the request. The caller is
        # still told, in the same form, that nothing ran.
        self.assert_refused(
            self.raw(b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 100000 +
                     b"\r\n\r\n"), 400, "malformed-request")

    def test_announcements(self):
        for bad in ("", "[]", "{}", '{"workspace": 1}'):
            answer = call(self.node.control, "POST", "/v1/targets", bad)
            self.assertEqual((answer.status, answer.json()["error"]),
                             (400, "invalid-announcement"))
        self.assertEqual(keyed_call(self.node, "a").status, 200)


class BadSettingsTest(unittest.TestCase):

    def setUp(self):
        self.programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(self.programs.__exit__)

    def run_node(self, *flags):
        program = self.programs.start("citrongrade-node", *flags)
        status = program.wait()
        return status, program.log_text()

    def good_flags(self):
        values = ["node-1", "derby"] + free_addresses(5)
        return [text for pair in zip(NODE_FLAGS, values) for text in pair]

    def test_all_mistakes_are_told_at_once(self):
        status, log = self.run_node("--zone", "derby", "--data-address", "x:y",
                                    "--caller-threads", "many", "--unknown")
        self.assertEqual(status, 1)
        lines = [line for line in log.splitlines() if "start-failed" in line]
        self.assertEqual(len(lines), 1)
        for part in ("--node-id", "--caller-address", "--data-address",
                     "--caller-threads", "--unknown"):
            self.assertIn(part, lines[0])

    def test_address_in_use(self):
        for flag in NODE_FLAGS[2:6]:
            with socket.socket() as taken:
                taken.bind(("127.0.0.1", 0))
                taken.listen()
                address = "127.0.0.1:%d" % taken.getsockname()[1]
                flags = self.good_flags()
                flags[flags.index(flag) + 1] = address
                status, log = self.run_node(*flags)
                self.assertEqual(status, 1, flag)
                self.assertIn(address, log)


if __name__ == "__main__":
    unittest.main()
