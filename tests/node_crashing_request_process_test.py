"""A request that crashes the target of a citrongrade-node that runs it."""

import sys
import threading
import time
import unittest

from support.fake_target import FakeTarget, send
from support.node_mesh import KEYED, KEYED_SETTINGS, Mesh, WORKSPACE, keyed_call
from support.processes import ProgramGroup, wait_until

BUILD_DIR = sys.argv.pop(1)
CRASHES_TO_QUARANTINE = 3


def serve(handler):
    send(handler, b"good")


class CrashingRequestTest(unittest.TestCase):

    def setUp(self):
        programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(programs.__exit__)
        mesh = Mesh(programs)
        mesh.publish_service(KEYED_SETTINGS)
        self.node = mesh.start_node(with_target=False)
        self.behave = serve
        # One slot, so that a second request waits.
        self.target = FakeTarget(self.node, WORKSPACE, KEYED,
                                 lambda handler: self.behave(handler), slots=1)
        self.addCleanup(self.target.close)
        mesh.wait_until_served()

    def post(self, body, **headers):
        return keyed_call(self.node, "a", "POST", body=body, **headers)

    def served(self, body):
        return self.post(body).status == 200

    def crash(self, body):
        """Has one run of the request crash the target."""
        self.behave = self.target.crash
        self.assertEqual(self.post(body).headers["citrongrade-outcome"],
                         "unknown")
        self.target.restart()
        self.behave = serve
        wait_until(lambda: self.served(b"innocent"), "the target serves again")

    def check_not_cleared_by(self, behaviour, **headers):
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(b"poison")
            self.behave = behaviour
            self.post(b"poison", **headers)
            self.behave = serve
            wait_until(lambda: self.served(b"innocent"), "the target is free")
        self.assertIn(b"quarantined", self.post(b"poison").body)

    # Guards against a refusal that is taken for a run without a crash, so that
    # a request which crashes each target that runs it is never quarantined.
    def test_a_refusal_clears_nothing(self):
        self.check_not_cleared_by(lambda handler: send(
            handler, b"", 503, extra=[("Citrongrade-Outcome", "not-run")]))

    # Guards against the target's own failure that is taken for a run without a
    # crash: its time limit may have ended the run before the crash.
    def test_a_failure_of_the_target_clears_nothing(self):
        self.check_not_cleared_by(lambda handler: send(handler, b"", 500))

    # Guards against a run without an answer that is taken for one that ended.
    def test_a_run_that_is_not_answered_clears_nothing(self):
        self.check_not_cleared_by(
            lambda handler: (time.sleep(0.6), send(handler, b"late")),
            Citrongrade_Deadline_Ms="300")

    # Guards against requests that are quarantined because they waited while
    # others crashed the target.
    def test_a_waiting_request_is_no_suspect(self):
        for number in range(CRASHES_TO_QUARANTINE):
            may_crash = threading.Event()
            self.behave = lambda handler: (may_crash.wait(5),
                                           self.target.crash(handler))
            self.target.seen.clear()
            poison = threading.Thread(target=self.post,
                                      args=(b"poison-%d" % number,))
            poison.start()
            wait_until(lambda: self.target.seen, "the request runs")
            waiting = threading.Thread(target=self.post, args=(b"waiting",))
            waiting.start()
            wait_until(lambda: self.node.dump()["dispatcher"]["admission"]["waiting"],
                       "the second request waits")
            may_crash.set()
            poison.join()
            waiting.join()
            self.target.restart()
            self.behave = serve
            wait_until(lambda: self.served(b"innocent"),
                       "the target serves again")
        self.assertEqual(self.post(b"waiting").status, 200)


if __name__ == "__main__":
    unittest.main()
