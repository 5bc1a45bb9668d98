"""Targets that answer wrongly, late, or not at all."""

import http.client
import socket
import sys
import time
import unittest

from support.fake_target import FakeTarget, hang_up, send
from support.node_mesh import (KEYED, KEYED_PATH, KEYED_SETTINGS, Mesh,
                               WORKSPACE, keyed_call)
from support.processes import ProgramGroup, wait_until

BUILD_DIR = sys.argv.pop(1)
LONG = 1024 * 1024


class BrokenTargetTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        programs = ProgramGroup(BUILD_DIR)
        cls.addClassCleanup(programs.__exit__)
        cls.mesh = Mesh(programs)
        cls.mesh.publish_service(KEYED_SETTINGS)
        cls.node = cls.mesh.start_node(with_target=False)
        cls.answer = None
        cls.target = FakeTarget(cls.node, WORKSPACE, KEYED,
                                lambda handler: cls.answer(handler))
        cls.addClassCleanup(cls.target.close)
        cls.mesh.wait_until_served()

    def setUp(self):
        self.target.seen.clear()

    @property
    def behave(self):
        return type(self).answer

    @behave.setter
    def behave(self, behaviour):
        type(self).answer = staticmethod(behaviour)

    def post(self, **headers):
        return keyed_call(self.node, "a", "POST", body=b"x", **headers)

    def assert_outcome(self, answer, outcome, error):
        self.assertEqual((answer.headers.get("citrongrade-outcome"),
                          answer.json()["error"]), (outcome, error))

    def assert_good_again(self):
        self.behave = lambda handler: send(handler, b"good")
        answer = self.post()
        self.assertEqual((answer.status, answer.body), (200, b"good"))
        self.assertEqual(answer.headers["citrongrade-outcome"], "done")

    # The target answers with the answer to somebody else's request. The caller
    # must not read it: it is told that its own may have run.
    def test_answer_to_another_request(self):
        self.behave = lambda handler: send(handler, b"theirs", request_id="x-1")
        answer = self.post()
        self.assert_outcome(answer, "unknown", "target-failed")
        self.assertNotIn(b"theirs", answer.body)
        self.assert_good_again()

    # A short answer ends before its Content-Length. Its head is held back until
    # the body is whole, so the caller gets a typed error.
    def test_short_answer_cut(self):
        def cut(handler):
            send(handler, b"half", length=8)
            hang_up(handler)
        self.behave = cut
        self.assert_outcome(self.post(), "unknown", "truncated-answer")
        self.assert_good_again()

    # A long answer's head has gone out when the target breaks off. The caller
    # sees its connection closed before the declared length: no whole answer.
    def test_long_answer_cut(self):
        def cut(handler):
            send(handler, b"x" * (LONG // 2), length=LONG)
            hang_up(handler)
        self.behave = cut
        with self.assertRaises((http.client.IncompleteRead, OSError)):
            self.post()
        self.assertIn("answers_cut_total 1", self.node.metrics())
        self.assert_good_again()

    def test_no_answer(self):
        self.behave = hang_up
        self.assert_outcome(self.post(), "unknown", "target-failed")
        self.assert_good_again()

    def test_answer_that_is_not_http(self):
        def nonsense(handler):
            handler.wfile.write(b"what?\r\n\r\n")
            hang_up(handler)
        self.behave = nonsense
        self.assert_outcome(self.post(), "unknown", "target-failed")
        self.assert_good_again()

    # The target refuses with its word that nothing ran: only that is passed on
    # as not-run. The same status without the word is the target's own answer.
    def test_refusals(self):
        self.behave = lambda handler: send(
            handler, b"", 503, extra=[("Citrongrade-Outcome", "not-run"),
                                      ("Retry-After", "7")])
        answer = self.post()
        self.assert_outcome(answer, "not-run", "target-refused")
        self.assertEqual(answer.headers["retry-after"], "7")
        self.behave = lambda handler: send(handler, b"own", 503)
        answer = self.post()
        self.assertEqual((answer.status, answer.body), (503, b"own"))
        self.assertEqual(answer.headers["citrongrade-outcome"], "done")

    # A protected request's connection breaks. It may have run, so the system
    # doesn't send it again, and neither does a resend with the same id run.
    def test_unknown_runs_only_once(self):
        self.behave = hang_up
        self.assert_outcome(self.post(Idempotency_Key="once"), "unknown",
                            "target-failed")
        self.behave = lambda handler: send(handler, b"again")
        self.assert_outcome(self.post(Idempotency_Key="once"), "unknown",
                            "already-run")
        runs = [method for method, path, _ in self.target.seen
                if method == "POST"]
        self.assertEqual(len(runs), 1)

    def test_resend_gets_the_first_answer(self):
        count = []

        def number(handler):
            count.append(1)
            send(handler, b"run %d" % len(count), 201)
        self.behave = number
        first = self.post(Idempotency_Key="twice")
        second = self.post(Idempotency_Key="twice")
        self.assertEqual((first.status, first.body), (201, b"run 1"))
        self.assertEqual((second.status, second.body), (201, b"run 1"))

    # An idempotent request may run again: a broken connection is tried once
    # more inside the system, and the caller sees the whole answer.
    def test_idempotent_request_is_tried_again(self):
        tries = []

        def break_first(handler):
            tries.append(1)
            if len(tries) == 1:
                hang_up(handler)
            else:
                send(handler, b"good")
        self.behave = break_first
        answer = keyed_call(self.node, "a")
        self.assertEqual((answer.status, answer.body), (200, b"good"))
        self.assertEqual(len(tries), 2)

    # The target sleeps past the deadline. The caller is told at its deadline,
    # not later, and the target is told that nobody waits any more.
    def test_deadline(self):
        self.behave = lambda handler: (time.sleep(1.5), send(handler, b"late"))
        answer = self.post(Citrongrade_Deadline_Ms="300")
        self.assertIn(answer.json()["error"],
                      ("target-timeout", "deadline-passed"))
        self.assertEqual(answer.headers["citrongrade-outcome"], "unknown")
        self.assertEqual(len([1 for method, _, _ in self.target.seen
                              if method == "POST"]), 1)
        wait_until(self.target.cancels, "the target is told to cancel")

    # The caller closes its connection while the target works: the work is
    # cancelled at the target.
    def test_caller_goes_away(self):
        self.behave = lambda handler: (time.sleep(2), send(handler, b"late"))
        host, port = self.node.caller.split(":")
        connection = socket.create_connection((host, int(port)))
        connection.sendall(("POST %s/x HTTP/1.1\r\nHost: x\r\nX-Key: a\r\n"
                            "Content-Length: 0\r\n\r\n" % KEYED_PATH).encode())
        wait_until(lambda: self.target.seen, "the request runs")
        connection.close()
        wait_until(self.target.cancels, "the target is told to cancel")
        self.assertIn("callers_gone_total 1", self.node.metrics())
        self.assert_good_again()


if __name__ == "__main__":
    unittest.main()
